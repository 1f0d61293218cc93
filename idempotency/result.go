package idempotency

// result is the result of an operation: an error, or the record of another
// attempt that holds the key, or success if both are unset.
type result struct {
	id     uint64
	holder *record
	err    error
}
