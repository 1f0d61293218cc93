package memstore

// RateError is the cause of an UnavailableError of a call over the rate limit.
// The call had no effect.
type RateError struct{}

// Error implements error.
func (*RateError) Error() string { return "rate limit exceeded" }
