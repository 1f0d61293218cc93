package idempotency

import (
	"fmt"
	"time"
)

// ExpiredError reports a key that was claimed longer ago than the window. This
// request was not run; the response to the earlier one is no longer available.
// Callers receive the text of Error.
type ExpiredError struct {
	Age    time.Duration
	Window time.Duration
}

// Error implements error.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("idempotency key was claimed %v ago, its window is %v", e.Age, e.Window)
}
