package sidecar

import (
	"time"

	"github.com/apex/log"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/internal/wait"
	"github.com/laureltally/laureltally/residency"
)

// perform executes the actions that the scheduler returned. The caller holds mu.
func (s *Sidecar) perform(actions []residency.Action) {
	defer s.scheduleGrant()
	for _, a := range actions {
		switch a := a.(type) {
		case *residency.Grant:
			s.deliverDecision(a.ID, a)
		case *residency.Refuse:
			if a.Reason == residency.ReasonUnknownModel {
				wait.Notify(s.configOutdated)
			}
			s.deliverDecision(a.ID, a)
		case *residency.Submit:
			fence, server := s.fence, s.server
			s.work.Go(func() { s.submit(a, fence, server) })
		case *residency.PermitRequest:
			s.work.Go(func() { s.requestPermit(a) })
		}
	}
}

// scheduleGrant sets the timer for the next grant that is due at a known time. The caller
// holds mu.
func (s *Sidecar) scheduleGrant() {
	if s.grantTimer != nil {
		s.grantTimer.Stop()
	}
	now := s.o.Now()
	at, due := s.scheduler.NextGrant(now)
	if !due || s.ctx.Err() != nil {
		return
	}
	s.grantTimer = time.AfterFunc(max(minGrantDelay, at.Sub(now)), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.ctx.Err() == nil {
			s.perform(s.scheduler.Tick(s.o.Now()))
		}
	})
}

// minGrantDelay is the minimum delay of the grant timer. A finer resolution is of no
// use.
const minGrantDelay = time.Millisecond

func (s *Sidecar) deliverDecision(id residency.RequestID, a residency.Action) {
	if ch := s.waiting[id]; ch != nil {
		ch <- a
		delete(s.waiting, id)
	}
}

// submit sends one order and passes the result to the scheduler.
func (s *Sidecar) submit(a *residency.Submit, fence ident.Fence, server ident.VM) {
	o := engine.Order{Kind: a.Kind, Model: a.Model, Adapter: a.Adapter, Fence: fence}
	begun := time.Now()
	err := s.o.Engine.Submit(s.ctx, s.o.Settings.VM, o, a.ExpectedAccepted, server)
	response := residency.OrderAccepted
	switch {
	case err == nil:
	case s.o.Engine.Refused(err):
		response = residency.OrderRefused
	default:
		response = residency.OrderUnanswered
	}
	l := s.o.Logger.WithFields(log.Fields{
		"order": a.Kind, "model": a.Model, "adapter": a.Adapter, "after": a.ExpectedAccepted, "fence": fence,
		"server": server, "why": a.Purpose, "took_ms": time.Since(begun).Milliseconds(),
	})
	if err != nil {
		l.WithError(err).Warn("order not accepted")
	} else {
		l.Info("order accepted")
	}
	s.o.Metrics.Tagged(map[string]string{"kind": string(a.Kind)}).Counter("orders").Inc(1)
	s.mu.Lock()
	s.scheduler.OrderAnswered(s.o.Now(), response)
	s.mu.Unlock()
	if response == residency.OrderUnanswered && (a.Kind == engine.OrderLoad || a.Kind == engine.OrderLoadAdapter) {
		s.work.Go(s.saveLateOrders)
	}
	wait.Notify(s.readNow)
}
