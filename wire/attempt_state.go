package wire

// AttemptState is the state of an attempt as its agent reports it.
type AttemptState string

// The states of an attempt. AttemptNotRun is final: the agent keeps a tombstone,
// because of which it refuses a later Dispatch.
const (
	AttemptRunning  AttemptState = "running"
	AttemptFinished AttemptState = "finished"
	AttemptNotRun   AttemptState = "not_run"
	AttemptUnknown  AttemptState = "unknown"
)
