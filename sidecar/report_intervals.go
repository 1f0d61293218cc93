package sidecar

import (
	"slices"
	"time"

	"github.com/laureltally/laureltally/wire"
)

// maxReportRate is the total rate of reports to all routers, per second. A report
// takes about 0.31 ms of CPU time at each end (CAPACITY.md), so reports at this rate
// take half of the 2.5% of a core that is budgeted for control traffic.
const maxReportRate = 40

// reportIntervals is how often each router gets a report. With many routers the
// intervals grow, so that the total rate stays within maxReportRate.
type reportIntervals struct {
	// shortest is the minimum time between two reports, longest the time after which
	// one is sent even if nothing has changed.
	shortest, longest time.Duration
}

// intervalsFor returns the report intervals for a number of routers.
func intervalsFor(routers int, o Options) reportIntervals {
	shortest := max(o.ReportInterval, time.Duration(routers)*time.Second/maxReportRate)
	return reportIntervals{shortest: shortest, longest: max(o.Heartbeat, shortest)}
}

// due reports whether next has to be sent after old, which may be nil, given the age
// of old. A change of Draining is sent at once.
func (i reportIntervals) due(old, next *wire.Report, age time.Duration) bool {
	switch {
	case old == nil || old.Draining != next.Draining || age >= i.longest:
		return true
	case age < i.shortest:
		return false
	}
	return old.Running != next.Running || old.Waiting != next.Waiting || !sameModels(old, next)
}

func sameModels(a, b *wire.Report) bool {
	return slices.EqualFunc(a.Models, b.Models, wire.ModelReport.SameState)
}
