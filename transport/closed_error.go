package transport

// ClosedError reports the use of a closed Pool.
type ClosedError struct{}

// Error implements error.
func (*ClosedError) Error() string { return "transport is closed" }
