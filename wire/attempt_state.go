package wire

// AttemptState is what an agent knows of an attempt.
type AttemptState string

// The states of an attempt. AttemptNotRun is final: a tombstone keeps it so.
const (
	AttemptRunning  AttemptState = "running"
	AttemptFinished AttemptState = "finished"
	AttemptNotRun   AttemptState = "not_run"
	AttemptUnknown  AttemptState = "unknown"
)
