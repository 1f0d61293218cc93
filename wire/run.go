package wire

// Run tells whether a refused request has run.
type Run string

// RunNot is said only by whoever can still prevent the run.
const (
	RunNot     Run = "not_run"
	RunUnknown Run = "unknown"
)
