package idempotency

// KeyReusedError reports a key that was claimed for a different request. This
// request was not run.
type KeyReusedError struct{}

// Error implements error.
func (e *KeyReusedError) Error() string { return "idempotency key was used for a different request" }
