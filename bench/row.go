package main

// row is one figure of the table. Target, Baseline and Ours are printed as they
// are, with their units.
type row struct {
	Section  string
	Figure   string
	Target   string
	Baseline string
	Ours     string
	Verdict  verdict
}
