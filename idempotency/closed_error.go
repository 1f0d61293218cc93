package idempotency

// ClosedError reports a call to a Keeper that was closed. The request was not
// run.
type ClosedError struct{}

// Error implements error.
func (e *ClosedError) Error() string { return "claim keeper is closed" }
