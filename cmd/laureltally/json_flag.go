package main

// jsonFlag chooses the form of the result.
type jsonFlag struct {
	JSON bool `arg:"--json" help:"print JSON"`
}
