package wait

import (
	"context"
	"time"
)

// SleepEarly pauses for d, or until early is received from and at least shortest has passed. It
// returns early when ctx ends. A nil channel never ends the pause.
func SleepEarly(ctx context.Context, d, shortest time.Duration, early <-chan struct{}) {
	if Sleep(ctx, min(d, shortest)) != nil || shortest >= d {
		return
	}
	timer := time.NewTimer(d - max(0, shortest))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-early:
	case <-timer.C:
	}
}
