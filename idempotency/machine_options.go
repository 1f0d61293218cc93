package idempotency

import "time"

// machineOptions bounds one bucket.
type machineOptions struct {
	object string
	bucket int
	window time.Duration
	// maxBytes bounds the object's value for new claims.
	maxBytes int
	// skipReread is the fault of taking a write without an answer for done.
	skipReread bool
	// blindMove is the fault of moving a claim without looking who holds it.
	blindMove bool
}
