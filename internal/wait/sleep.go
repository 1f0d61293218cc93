// Package wait provides pauses that end with a context, and notifications that end them.
package wait

import (
	"context"
	"time"
)

// Sleep pauses for d, or until ctx ends and then returns its error. If d is zero or
// less, it returns the error of ctx at once.
func Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
