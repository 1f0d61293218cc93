package sidecar

import (
	"testing"
	"time"

	"github.com/laureltally/laureltally/wire"
)

// replayReports simulates an engine whose load changes in every step, and returns the
// number of reports to one router of its region. It fails if a report comes later than
// the previous one announced.
func replayReports(t *testing.T, near, far int, length time.Duration) int {
	t.Helper()
	const step = 10 * time.Millisecond
	intervals := intervalsFor(near, far, Options{}.withDefaults())
	var old *wire.Report
	var sent time.Duration
	n := 0
	for at := time.Duration(0); at < length; at += step {
		next := &wire.Report{Running: int(at / step)}
		if !intervals.due(old, next, at-sent) {
			continue
		}
		if old != nil && at-sent > intervals.longest+step {
			t.Fatalf("%d and %d routers: report after %v, announced within %v", near, far, at-sent, intervals.longest)
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
		for _, near := range []int{0, routers / 3, routers} {
			far := routers - near
			n := near * replayReports(t, near, far, seconds*time.Second)
			n += far * int(seconds*time.Second/intervalsFor(near, far, Options{}.withDefaults()).far)
			// Each router also gets an initial report.
			if most := maxReportRate*seconds + routers; n > most {
				t.Errorf("%d and %d routers: %d reports, want at most %d", near, far, n, most)
			}
		}
	}
	if n, want := replayReports(t, 2, 2, seconds*time.Second), seconds*int(time.Second/DefaultReportInterval); n < want-1 || n > want+1 {
		t.Errorf("4 routers: %d reports to each, want about %d", n, want)
	}
}

func TestDrainingIsReportedAtOnce(t *testing.T) {
	intervals := intervalsFor(60, 300, Options{}.withDefaults())
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

// In a large installation most routers are in other regions. They get fewer reports than
// the near ones, which make the choices; in a small one all get each change.
func TestRoutersOfOtherRegionsGetFewerReports(t *testing.T) {
	o := Options{}.withDefaults()
	large := intervalsFor(23, 45, o)
	if even := 68 * time.Second / maxReportRate; large.shortest > even*2/3 || large.far < even {
		t.Errorf("near routers each %v, far ones each %v, all alike each %v", large.shortest, large.far, even)
	}
	if small := intervalsFor(1, 3, o); small.far != o.ReportInterval || small.shortest != o.ReportInterval {
		t.Errorf("small installation: %+v", small)
	}
}
