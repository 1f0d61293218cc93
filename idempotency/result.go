package idempotency

// result settles an op: with an error; or with the claim that another attempt
// holds; or, if both are unset, as done.
type result struct {
	id    uint64
	found *entry
	err   error
}
