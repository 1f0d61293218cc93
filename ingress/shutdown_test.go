package ingress

import (
	"testing"
	"time"
)

// A rolling restart stops all routers of a zone within seconds, so that requests arrive
// up to the exit: at first all are admitted, then those that end before it.
func TestRequestsAdmittedWhileStopping(t *testing.T) {
	begun := time.Unix(1000, 0)
	end := begun.Add(7 * time.Second)
	for _, tc := range []struct {
		after, timeout time.Duration
		want           bool
	}{
		{0, 20 * time.Second, true},
		{2900 * time.Millisecond, 20 * time.Second, true},
		{3 * time.Second, 20 * time.Second, false},
		{3 * time.Second, 1500 * time.Millisecond, true},
		{5500 * time.Millisecond, 1500 * time.Millisecond, true},
		{5600 * time.Millisecond, 1500 * time.Millisecond, false},
	} {
		now := begun.Add(tc.after)
		if got := admitsWhileStopping(now, begun, end, now.Add(tc.timeout)); got != tc.want {
			t.Errorf("%v after the start, timeout %v: admitted %v", tc.after, tc.timeout, got)
		}
	}
}
