package ingress

import (
	"errors"
	"testing"
	"time"
)

// Hundreds of routers read the store. A single failed read is repeated early, so that a
// change still takes effect in time; during an outage they ask less often.
func TestReadsAreRepeatedEarlyOnce(t *testing.T) {
	const within = 5 * time.Second
	interval := fraction(pollShare, within)
	failed := errors.New("no response")
	var p poller
	for i, step := range []struct {
		err  error
		want time.Duration
	}{
		{failed, firstPollInterval},
		{failed, firstPollInterval},
		{nil, interval},
		{nil, interval},
		{failed, fraction(failedPollShare, interval)},
		{failed, fraction(failingPollShare, interval)},
		{failed, fraction(failingPollShare, interval)},
		{nil, interval},
	} {
		if got := p.pause(interval, step.err); got != step.want {
			t.Errorf("read %d: next after %v, want %v", i, got, step.want)
		}
	}
	if late := interval + fraction(failedPollShare, interval); late > within {
		t.Errorf("a change is seen after %v if one read fails, allowed are %v", late, within)
	}
}
