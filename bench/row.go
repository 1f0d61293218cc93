package main

// row is one row of the table. Target, Baseline and Ours are printed unchanged and
// contain their units.
type row struct {
	Section  string
	Figure   string
	Target   string
	Baseline string
	Ours     string
	Verdict  verdict
}
