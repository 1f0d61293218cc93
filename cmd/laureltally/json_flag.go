package main

// jsonFlag selects the output format.
type jsonFlag struct {
	JSON bool `arg:"--json" help:"print JSON"`
}
