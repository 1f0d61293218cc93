package idempotency

import (
	"fmt"
	"time"
)

// BucketFullError reports a bucket without space for another record. The
// request was not run.
type BucketFullError struct {
	Bucket     int
	RetryAfter time.Duration
}

// Error implements error.
func (e *BucketFullError) Error() string {
	return fmt.Sprintf("idempotency bucket %d is full, retry after %v", e.Bucket, e.RetryAfter)
}
