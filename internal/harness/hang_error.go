package harness

import (
	"fmt"
	"time"
)

// HangError reports a process that did not exit after SIGTERM.
type HangError struct {
	Process string
	After   time.Duration
}

// Error implements error.
func (e *HangError) Error() string {
	return fmt.Sprintf("%s did not exit within %v", e.Process, e.After)
}
