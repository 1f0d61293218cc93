package sidecar

import (
	"testing"
	"time"

	"github.com/laureltally/laureltally/wire"
)

// replayReports simulates an engine whose load changes in every step, and returns the
// number of reports to one router. It fails if a report comes later than the previous
// one announced.
func replayReports(t *testing.T, routers int, length time.Duration) int {
	t.Helper()
	const step = 10 * time.Millisecond
	intervals := intervalsFor(routers, Options{}.withDefaults())
	var old *wire.Report
	var sent time.Duration
	n := 0
	for at := time.Duration(0); at < length; at += step {
		next := &wire.Report{Running: int(at / step)}
		if !intervals.due(old, next, at-sent) {
			continue
		}
		if old != nil && at-sent > intervals.longest+step {
			t.Fatalf("%d routers: report after %v, announced within %v", routers, at-sent, intervals.longest)
		}
		old, sent = next, at
		n++
	}
	return n
}

// The load of an engine changes with each request. With many routers the total rate of
// reports stays within maxReportRate; with few, each change is reported within the
// minimum interval.
func TestReportsOfBusyEngineStayWithinRate(t *testing.T) {
	const seconds = 10
	for _, routers := range []int{31, 100, 360} {
		// Each router also gets an initial report.
		if n, most := routers*replayReports(t, routers, seconds*time.Second), maxReportRate*seconds+routers; n > most {
			t.Errorf("%d routers: %d reports, want at most %d", routers, n, most)
		}
	}
	if n, want := replayReports(t, 4, seconds*time.Second), seconds*int(time.Second/DefaultReportInterval); n < want-1 || n > want+1 {
		t.Errorf("4 routers: %d reports to each, want about %d", n, want)
	}
}

func TestDrainingIsReportedAtOnce(t *testing.T) {
	intervals := intervalsFor(360, Options{}.withDefaults())
	if !intervals.due(&wire.Report{}, &wire.Report{Draining: true}, 0) {
		t.Error("change of draining is not due at once")
	}
	if intervals.due(&wire.Report{}, &wire.Report{Running: 1}, intervals.shortest-1) {
		t.Error("due before the minimum interval")
	}
	if intervals.due(&wire.Report{}, &wire.Report{}, intervals.longest-1) {
		t.Error("due although nothing has changed")
	}
}
