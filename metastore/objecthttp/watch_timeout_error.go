package objecthttp

import (
	"fmt"
	"time"
)

// WatchTimeoutError reports a watch on which neither events nor heartbeats
// arrived.
type WatchTimeoutError struct{ Timeout time.Duration }

// Error implements error.
func (e *WatchTimeoutError) Error() string {
	return fmt.Sprintf("watch timed out: no event or heartbeat for %v", e.Timeout)
}
