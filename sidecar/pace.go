package sidecar

import (
	"slices"
	"time"

	"github.com/laureltally/laureltally/wire"
)

// maxReportRate is how many reports a second a sidecar sends to all its routers
// together. One takes about 0.31 ms of processor time at each end (CAPACITY.md), so
// they take half of the 2.5% of a core that control may use.
const maxReportRate = 40

// pace is how often a router gets a report. It answers installations in which many
// routers follow each sidecar: their reports share one rate.
type pace struct {
	// least is the time between two reports, most the time after which one is sent
	// though nothing has changed.
	least, most time.Duration
}

// paceFor returns the pace for a number of routers.
func paceFor(routers int, o Options) pace {
	least := max(o.ReportInterval, time.Duration(routers)*time.Second/maxReportRate)
	return pace{least: least, most: max(o.Heartbeat, least)}
}

// due tells whether a report has to follow an older one, which may be nil. That an
// engine begins or ends to leave is told at once.
func (p pace) due(old, next *wire.Report, age time.Duration) bool {
	switch {
	case old == nil || old.Draining != next.Draining || age >= p.most:
		return true
	case age < p.least:
		return false
	}
	return old.Running != next.Running || old.Waiting != next.Waiting || !sameModels(old, next)
}

func sameModels(a, b *wire.Report) bool {
	return slices.EqualFunc(a.Models, b.Models, wire.ModelReport.SameState)
}
