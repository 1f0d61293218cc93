package claim

import (
	"fmt"
	"time"
)

// OverflowError reports a bucket without space for another claim. The request
// was not run.
type OverflowError struct {
	Bucket     int
	RetryAfter time.Duration
}

// Error implements error.
func (e *OverflowError) Error() string {
	return fmt.Sprintf("claim bucket %d is full, retry after %v", e.Bucket, e.RetryAfter)
}
