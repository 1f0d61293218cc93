package sidecar

import (
	"context"
	"time"

	"github.com/laureltally/laureltally/transport"
	"github.com/laureltally/laureltally/wire"
)

// status is the latest report to routers. changed is closed when it is replaced.
type status struct {
	report    *wire.Report
	sentAt    time.Time
	intervals reportIntervals
	changed   chan struct{}
}

// publish creates reports at an interval until ctx ends.
func (s *Sidecar) publish(ctx context.Context) {
	tick := time.NewTicker(s.o.ReportInterval)
	defer tick.Stop()
	for {
		s.mu.Lock()
		s.observeCrash()
		s.announceNews()
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
	if next == nil || s.engineUnreachable && !s.scheduler.Ended() {
		return
	}
	old := s.status.report
	near, far := s.countRouters()
	next.Routers = near + far
	intervals := intervalsFor(near, far, s.o)
	if !intervals.due(old, next, now.Sub(s.status.sentAt)) {
		return
	}
	next.VM = s.name()
	next.Seq = 1
	if old != nil {
		next.Seq = old.Seq + 1
	}
	s.status.report, s.status.sentAt, s.status.intervals = next, now, intervals
	close(s.status.changed)
	s.status.changed = make(chan struct{})
}

// countRouters returns the numbers of connected routers in the sidecar's region and in
// others.
func (s *Sidecar) countRouters() (near, far int) {
	for _, c := range s.listener.Conns() {
		if c.Peer().Region == s.o.Settings.Region {
			near++
		} else {
			far++
		}
	}
	return near, far
}

// sendReports sends the reports of one subscription: the first in full, later ones
// with only the changed models. A router of another region gets only the newest report
// when one is due to it. News of crashes and from other routers are sent at the interval
// of reports, also while the engine is away.
func (s *Sidecar) sendReports(ctx context.Context, peer wire.Hello, m *wire.Subscribe, stream *transport.Stream) {
	sub := &subscription{Subscribe: *m, near: peer.Region == s.o.Settings.Region}
	for {
		s.mu.Lock()
		now, st := s.o.Now(), s.status
		messages, found := s.news(now, sub), s.newsChanged.wait()
		s.mu.Unlock()
		for _, n := range messages {
			if stream.Send(n) != nil {
				return
			}
		}
		var due <-chan time.Time
		if st.report != nil && st.report != sub.last {
			wait := sub.untilDue(now, st.intervals)
			if wait == 0 && sub.send(stream, now, &st) != nil {
				return
			}
			if wait > 0 {
				due = time.After(wait)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-stream.Context().Done():
			return
		case <-found:
		case <-due:
		case <-sub.changed(&st):
		}
	}
}
