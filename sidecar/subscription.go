package sidecar

import (
	"time"

	"github.com/laureltally/laureltally/transport"
	"github.com/laureltally/laureltally/wire"
)

// subscription is what a router has been sent on one stream.
type subscription struct {
	wire.Subscribe
	near bool
	// findingsSeq and limitsSeq are the numbers of the newest finding and limit that were
	// sent, last is the newest report.
	findingsSeq, limitsSeq uint64

	last   *wire.Report
	sentAt time.Time
}

// untilDue returns the time until the next report may be sent.
func (b *subscription) untilDue(now time.Time, i reportIntervals) time.Duration {
	if b.near || b.last == nil {
		return 0
	}
	return max(0, i.far-now.Sub(b.sentAt))
}

// changed returns the channel that is closed when there is a newer report, or nil while one
// is waiting to be due.
func (b *subscription) changed(st *status) <-chan struct{} {
	if st.report != b.last {
		return nil
	}
	return st.changed
}

// send sends a report.
func (b *subscription) send(stream *transport.Stream, now time.Time, st *status) error {
	r := *st.report
	if b.last != nil {
		r.Models, r.ModelsDelta = wire.DiffModels(b.last.Models, r.Models), true
	}
	b.last, b.sentAt = st.report, now
	r.MaxReportInterval = st.intervals.nextWithin(b.near)
	return stream.Send(&r)
}
