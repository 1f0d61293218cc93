package main

// arguments is the command line of the driver.
type arguments struct {
	Path bool `arg:"--path" help:"measure only the path through separate processes"`
}

// chosen returns the sections to run.
func (a arguments) chosen() []section {
	if a.Path {
		return []section{latencySection}
	}
	return sections()
}
