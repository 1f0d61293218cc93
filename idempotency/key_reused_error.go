package idempotency

// KeyReusedError reports a key that was claimed for a different request. This
// request was not run. Callers receive the text of Error.
type KeyReusedError struct{}

// Error implements error.
func (e *KeyReusedError) Error() string { return "idempotency key was used for another request" }
