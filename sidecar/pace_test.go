package sidecar

import (
	"testing"
	"time"

	"github.com/laureltally/laureltally/wire"
)

// replayReports plays an engine whose load changes all the time, and counts the
// reports that one router gets. It fails if one comes later than the one before
// promised.
func replayReports(t *testing.T, routers int, length time.Duration) int {
	t.Helper()
	const step = 10 * time.Millisecond
	p := paceFor(routers, Options{}.withDefaults())
	var old *wire.Report
	var sent time.Duration
	n := 0
	for at := time.Duration(0); at < length; at += step {
		next := &wire.Report{Running: int(at / step)}
		if !p.due(old, next, at-sent) {
			continue
		}
		if old != nil && at-sent > p.most+step {
			t.Fatalf("%d routers: a report after %v, promised within %v", routers, at-sent, p.most)
		}
		old, sent = next, at
		n++
	}
	return n
}

// The load of an engine changes with each request, and 100 routers follow it: what
// it tells them stays within its rate, and a few routers hear of each change within
// the least interval.
func TestReportsOfABusyEngineShareOneRate(t *testing.T) {
	const seconds = 10
	for _, routers := range []int{31, 100, 360} {
		// Each router gets one report more, at the beginning.
		if n, most := routers*replayReports(t, routers, seconds*time.Second), maxReportRate*seconds+routers; n > most {
			t.Errorf("%d routers: %d reports, want at most %d", routers, n, most)
		}
	}
	if n, want := replayReports(t, 4, seconds*time.Second), seconds*int(time.Second/DefaultReportInterval); n < want-1 || n > want+1 {
		t.Errorf("4 routers: %d reports to each, want about %d", n, want)
	}
}

func TestLeavingIsToldAtOnce(t *testing.T) {
	p := paceFor(360, Options{}.withDefaults())
	if !p.due(&wire.Report{}, &wire.Report{Draining: true}, 0) {
		t.Error("not due")
	}
	if p.due(&wire.Report{}, &wire.Report{Running: 1}, p.least-1) {
		t.Error("due before its time")
	}
	if p.due(&wire.Report{}, &wire.Report{}, p.most-1) {
		t.Error("due though nothing has changed")
	}
}
