package sidecar

import (
	"context"
	"time"

	"github.com/laureltally/laureltally/transport"
	"github.com/laureltally/laureltally/wire"
)

// status is the latest report to routers. changed is closed when it is replaced.
type status struct {
	report  *wire.Report
	sentAt  time.Time
	changed chan struct{}
}

// publish creates reports at an interval until ctx ends.
func (s *Sidecar) publish(ctx context.Context) {
	tick := time.NewTicker(s.o.ReportInterval)
	defer tick.Stop()
	for {
		s.mu.Lock()
		s.renewStatus()
		s.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// renewStatus creates a report if something has changed or a heartbeat is due. The
// caller holds mu.
func (s *Sidecar) renewStatus() {
	now := s.o.Now()
	next := s.scheduler.Status(now)
	if next == nil || s.engineUnreachable {
		return
	}
	old := s.status.report
	next.Routers = len(s.listener.Conns())
	intervals := intervalsFor(next.Routers, s.o)
	if !intervals.due(old, next, now.Sub(s.status.sentAt)) {
		return
	}
	next.MaxReportInterval = intervals.longest
	next.VM = s.name()
	next.Seq = 1
	if old != nil {
		next.Seq = old.Seq + 1
	}
	s.status.report, s.status.sentAt = next, now
	close(s.status.changed)
	s.status.changed = make(chan struct{})
}

// sendReports sends the reports of one subscription: the first in full, later ones
// with only the changed models.
func (s *Sidecar) sendReports(ctx context.Context, stream *transport.Stream) {
	var last *wire.Report
	for {
		s.mu.Lock()
		st := s.status
		s.mu.Unlock()
		if st.report != nil {
			r := *st.report
			if last != nil {
				r.Models, r.ModelsDelta = wire.DiffModels(last.Models, r.Models), true
			}
			last = st.report
			if err := stream.Send(&r); err != nil {
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-stream.Context().Done():
			return
		case <-st.changed:
		}
	}
}
