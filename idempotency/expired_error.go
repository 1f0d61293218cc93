package idempotency

import (
	"fmt"
	"time"
)

// ExpiredError reports a key whose claim is older than the window. This request
// was not run; the answer to the earlier one is kept no longer.
type ExpiredError struct {
	Age    time.Duration
	Window time.Duration
}

// Error implements error.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("idempotency key was claimed %v ago, its window is %v", e.Age, e.Window)
}
