package idempotency

import "time"

// machineOptions configures the machine of one bucket.
type machineOptions struct {
	objectKey string
	bucket    int
	window    time.Duration
	// maxBytes limits the size of the object's value for new records.
	maxBytes int
	// skipReread is a test fault: a write without a response counts as done.
	skipReread bool
	// blindMove is a test fault: a key is moved without a check of which
	// attempt holds it.
	blindMove bool
}
