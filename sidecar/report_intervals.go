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

// farFactor is how many reports routers of the sidecar's own region get for each one to
// a router of another region. Requests cross regions only when the VMs near them are busy
// or lack the model, and the bytes between regions are paid for.
const farFactor = 4

// reportIntervals is how often each router gets a report. With many routers the
// intervals grow, so that the total rate stays within maxReportRate.
type reportIntervals struct {
	// shortest is the minimum time between two reports to a router of the same region,
	// longest the time after which one is sent even if nothing has changed.
	shortest, longest time.Duration
	// far is the minimum time between two reports to a router of another region.
	far time.Duration
}

// intervalsFor returns the report intervals for numbers of routers in the sidecar's region
// and in others.
func intervalsFor(near, far int, o Options) reportIntervals {
	if time.Duration(near+far)*time.Second/maxReportRate <= o.ReportInterval {
		return reportIntervals{shortest: o.ReportInterval, longest: max(o.Heartbeat, o.ReportInterval), far: o.ReportInterval}
	}
	weight := float64(near) + float64(far)/farFactor
	shortest := max(o.ReportInterval, time.Duration(weight*float64(time.Second)/maxReportRate))
	return reportIntervals{shortest: shortest, longest: max(o.Heartbeat, shortest), far: farFactor * shortest}
}

// nextWithin returns the maximum time until the next report to a router.
func (i reportIntervals) nextWithin(near bool) time.Duration {
	if near {
		return i.longest
	}
	return i.far + i.longest
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
