package main

// arguments holds the command-line arguments.
type arguments struct {
	Path bool `arg:"--path" help:"measure only the path through separate processes"`
}

// selected returns the sections to run.
func (a arguments) selected() []section {
	if a.Path {
		return []section{latencySection}
	}
	return sections()
}
