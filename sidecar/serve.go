package sidecar

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/laureltally/laureltally/residency"
	"github.com/laureltally/laureltally/transport"
	"github.com/laureltally/laureltally/wire"
)

// handle serves one stream opened by a router.
func (s *Sidecar) handle(ctx context.Context, peer wire.Hello, first wire.Message, stream *transport.Stream) {
	switch m := first.(type) {
	case *wire.Subscribe:
		s.sendReports(ctx, peer, m, stream)
	case *wire.Reserve:
		s.reserve(ctx, peer, m, stream)
	case *wire.StreamBegun:
		s.recordStream(m, stream)
	case *wire.CrashFindings:
		s.addFindings(m)
		_ = stream.CloseSend()
	case *wire.ServerLimits:
		s.addLimits(m)
		_ = stream.CloseSend()
	case *wire.StreamOriginQuery:
		s.answerOrigin(m, stream)
	case *wire.AllotmentRequest:
		s.lend(peer, m, stream)
	default:
		s.o.Logger.WithField("peer", peer.VM).WithError(&wire.KindError{Kind: first.Kind()}).Warn("stream refused")
		stream.Reset()
	}
}

// reserve queues a request and holds its reservation until the router ends the stream.
func (s *Sidecar) reserve(ctx context.Context, peer wire.Hello, r *wire.Reserve, stream *transport.Stream) {
	begun := s.o.Now()
	id, decision := s.enqueue(r)
	if len(decision) == 0 && stream.Send(&wire.Queued{}) != nil {
		s.release(id, residency.Outcome{})
		return
	}
	ended := make(chan wire.Message, 1)
	go func() {
		m, err := stream.Recv()
		if err != nil {
			m = nil
		}
		ended <- m
	}()
	for {
		select {
		case a := <-decision:
			s.logDecision(peer, r, a, s.o.Now().Sub(begun))
			if !s.sendDecision(stream, a) {
				s.release(id, residency.Outcome{})
				return
			}
			if _, refused := a.(*residency.Refuse); refused {
				return
			}
			s.observeRequest(id, r)
			decision = nil
		case m := <-ended:
			o := outcome(m)
			s.logRelease(r, o)
			s.release(id, o)
			s.observeEnding(id, m)
			return
		case <-ctx.Done():
			s.release(id, residency.Outcome{})
			s.observeEnding(id, nil)
			return
		}
	}
}

func (s *Sidecar) enqueue(r *wire.Reserve) (residency.RequestID, chan residency.Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	id := s.nextID
	decision := make(chan residency.Action, 1)
	s.waiting[id] = decision
	s.perform(s.scheduler.Reserve(s.o.Now(), residency.Request{
		ID: id, Model: r.Model, Adapter: r.Adapter, Priority: r.Priority, CacheTokens: r.CacheTokens, PromptTokens: r.PromptTokens,
		MaxWait: r.MaxWait, Objective: r.Objective, MaxEventGap: r.MaxEventGap,
		Tenant: r.Tenant, Allotment: r.Allotment, Deadline: r.Deadline, SharedMachine: r.SharedMachine, Resumed: r.Resumed,
	}))
	return id, decision
}

func (s *Sidecar) release(id residency.RequestID, o residency.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, id)
	s.perform(s.scheduler.Release(s.o.Now(), id, o))
}

// sendDecision sends the decision to the router and reports whether that succeeded.
func (s *Sidecar) sendDecision(stream *transport.Stream, a residency.Action) bool {
	s.mu.Lock()
	load := s.scheduler.EngineLoad(s.o.Now())
	s.mu.Unlock()
	var m wire.Message
	switch a := a.(type) {
	case *residency.Grant:
		// The router counts its request itself.
		load.Running--
		m = &wire.Reserved{Waited: a.Waited, VM: a.VM, Started: a.Started, Load: load}
	case *residency.Refuse:
		code := wire.CodeOverloaded
		if a.Reason.Gone() {
			code = wire.CodeDraining
		}
		m = &wire.Refusal{Code: code, Run: wire.RunStateNotRun, RetryAfter: a.RetryAfter, Detail: string(a.Reason), Load: load}
	}
	return stream.Send(m) == nil
}

// logRelease logs the outcome of a request that held a reservation.
func (s *Sidecar) logRelease(r *wire.Reserve, o residency.Outcome) {
	s.mu.Lock()
	active, limit, _ := s.scheduler.Load(s.o.Now())
	rate, _ := s.scheduler.Prefill(s.o.Now())
	s.mu.Unlock()
	s.o.Logger.WithFields(log.Fields{
		"request": r.Request, "model": r.Model, "active": active, "limit": limit, "first_ms": o.TimeToFirstEvent.Milliseconds(),
		"gap_ms": o.LongestEventGap.Milliseconds(), "took_ms": o.Duration.Milliseconds(), "not_loaded": o.NotLoaded, "prefill_tokens_per_ms": int(rate),
	}).Info("reservation released")
}

func outcome(m wire.Message) residency.Outcome {
	reported, ok := m.(*wire.ReservationOutcome)
	if !ok {
		return residency.Outcome{}
	}
	return residency.Outcome{TimeToFirstEvent: reported.TimeToFirstEvent, LongestEventGap: reported.LongestEventGap, Duration: reported.Duration, NotLoaded: reported.NotLoaded}
}

func (s *Sidecar) logDecision(peer wire.Hello, r *wire.Reserve, a residency.Action, took time.Duration) {
	f := log.Fields{"request": r.Request, "router": peer.VM, "model": r.Model, "adapter": r.Adapter, "patience_ms": r.MaxWait.Milliseconds(), "waited_ms": took.Milliseconds()}
	s.mu.Lock()
	now := s.o.Now()
	f["active"], f["limit"], f["report_ms"] = s.scheduler.Load(now)
	_, backlog := s.scheduler.Prefill(now)
	f["prefill_backlog_ms"] = backlog.Milliseconds()
	if s.scheduler.Ordered(now) {
		f["ordered"], f["tenant"], f["deadline_ms"] = true, r.Tenant, r.Deadline.Milliseconds()
	}
	s.mu.Unlock()
	if refused, ok := a.(*residency.Refuse); ok {
		f["reason"], f["retry_after_ms"] = refused.Reason, refused.RetryAfter.Milliseconds()
		s.o.Metrics.Counter("places_refused").Inc(1)
		s.o.Logger.WithFields(f).Info("reservation refused")
		return
	}
	s.o.Metrics.Counter("places_granted").Inc(1)
	s.o.Logger.WithFields(f).Info("reservation granted")
}
