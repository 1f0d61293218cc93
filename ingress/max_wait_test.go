package ingress

import (
	"testing"
	"time"

	"github.com/laureltally/laureltally/placement"
	"github.com/laureltally/laureltally/serving"
)

// A caller that gives up after 3.2 s without an event must not wait for a load until
// then: it would disconnect without any response.
func TestMaxWaitEndsBeforeCallerTimeout(t *testing.T) {
	start := time.Unix(1000, 0)
	draft := &serving.Route{Objective: 800 * time.Millisecond, EventTimeout: 3200 * time.Millisecond}
	tests := []struct {
		name    string
		route   *serving.Route
		elapsed time.Duration
		ready   placement.Readiness
		most    time.Duration
		least   time.Duration
	}{
		{"load for a caller with a short timeout", draft, 0, placement.Cached, 3 * time.Second, 2 * time.Second},
		{"the same after two seconds", draft, 2 * time.Second, placement.Cached, time.Second, 0},
		{"queue of a loaded model", draft, 0, placement.Loaded, 800 * time.Millisecond, 300 * time.Millisecond},
		{"queue after the objective", draft, time.Second, placement.Loaded, 0, 0},
		{"no stream", &serving.Route{Objective: 300 * time.Millisecond}, 0, placement.Cached, 15 * time.Second, 10 * time.Second},
	}
	for _, tt := range tests {
		got := maxWait(start.Add(tt.elapsed), start, start.Add(25*time.Second), tt.route, tt.ready, false)
		if got > tt.most || got < tt.least {
			t.Errorf("%s: %v, want %v to %v", tt.name, got, tt.least, tt.most)
		}
	}
}

// After a restart of all routers, callers resume their streams with half of their time gone,
// at the engines that are left of the streams' software version. They were refused as if a
// whole response was still to come, and as if their objective, which the first event met, was
// still ahead.
func TestResumedRequestWaitsLonger(t *testing.T) {
	start := time.Unix(1000, 0)
	outlook := &serving.Route{Objective: 2500 * time.Millisecond, EventTimeout: 10 * time.Second}
	deadline := start.Add(6 * time.Second)
	for _, readiness := range []placement.Readiness{placement.Loaded, placement.Cached} {
		if got := maxWait(start, start, deadline, outlook, readiness, true); got < 4500*time.Millisecond || got > 5*time.Second {
			t.Errorf("%v: waits %v of 6 s", readiness, got)
		}
	}
	if got := maxWait(start, start, deadline, outlook, placement.Cached, false); got > 3*time.Second {
		t.Errorf("new request waits %v of 6 s", got)
	}
	if got := maxWait(start, start, start.Add(time.Minute), outlook, placement.Cached, true); got > 8*time.Second {
		t.Errorf("waits %v, callers leave after 10 s without an event", got)
	}
}
