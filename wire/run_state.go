package wire

// RunState indicates whether a refused request has run.
type RunState string

// RunStateNotRun is sent only by a process that can still prevent the request from
// running.
const (
	RunStateNotRun  RunState = "not_run"
	RunStateUnknown RunState = "unknown"
)
