package transport

// ClosedError reports the use of a closed Listener or Pool.
type ClosedError struct{}

// Error implements error.
func (*ClosedError) Error() string { return "transport is closed" }
