package wire

// RunState tells whether a refused request has run.
type RunState string

// RunStateNotRun is said only by whoever can still prevent the run.
const (
	RunStateNotRun  RunState = "not_run"
	RunStateUnknown RunState = "unknown"
)
