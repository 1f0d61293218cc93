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
		got := maxWait(start.Add(tt.elapsed), start, start.Add(25*time.Second), tt.route, tt.ready)
		if got > tt.most || got < tt.least {
			t.Errorf("%s: %v, want %v to %v", tt.name, got, tt.least, tt.most)
		}
	}
}
