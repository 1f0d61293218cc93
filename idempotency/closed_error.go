package idempotency

// ClosedError reports a call to a Manager that is closed. The request was not
// run.
type ClosedError struct{}

// Error implements error.
func (e *ClosedError) Error() string { return "idempotency manager is closed" }
