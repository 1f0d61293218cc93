// Package wait has pauses that end with a context.
package wait

import (
	"context"
	"time"
)

// Sleep pauses for d or until ctx ends, whose error it returns then. A pause of
// zero or less only looks at ctx.
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
