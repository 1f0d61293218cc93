package memstore

// RateError is the cause of calls that exceed the rate limit. Such a write has
// not taken effect.
type RateError struct{}

// Error implements error.
func (*RateError) Error() string { return "rate limit exceeded" }
