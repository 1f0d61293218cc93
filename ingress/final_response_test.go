package ingress

import (
	"testing"
	"time"
)

func TestRetryAfterIsBoundedByRemainingTime(t *testing.T) {
	for _, c := range []struct{ after, left, want time.Duration }{
		{after: 500 * time.Millisecond, left: 10 * time.Second, want: 500 * time.Millisecond},
		{after: 9 * time.Second, left: 10 * time.Second, want: 3 * time.Second},
		{after: 0, left: 10 * time.Second, want: minRetryAfter},
		{after: 354 * time.Millisecond, left: -2 * time.Millisecond, want: minRetryAfter},
	} {
		if got := boundRetryAfter(c.after, c.left); got != c.want {
			t.Errorf("%v with %v remaining: got %v, want %v", c.after, c.left, got, c.want)
		}
	}
}
