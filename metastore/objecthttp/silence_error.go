package objecthttp

import (
	"fmt"
	"time"
)

// SilenceError reports a watch on which not even heartbeats arrived.
type SilenceError struct{ After time.Duration }

// Error implements error.
func (e *SilenceError) Error() string { return fmt.Sprintf("watch was silent for %v", e.After) }
