package sidecar

import (
	"time"

	"github.com/apex/log"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/residency"
)

// do carries out what the machine decided. The caller holds mu.
func (s *Sidecar) do(actions []residency.Action) {
	defer s.armGrant()
	for _, a := range actions {
		switch a := a.(type) {
		case *residency.Grant:
			s.decide(a.ID, a)
		case *residency.Refuse:
			s.decide(a.ID, a)
		case *residency.Submit:
			fence, server := s.fence, s.server
			s.work.Go(func() { s.submit(a, fence, server) })
		case *residency.PermitRequest:
			s.work.Go(func() { s.fetch(a) })
		}
	}
}

// armGrant has the machine look again when the next place is due. The caller holds
// mu.
func (s *Sidecar) armGrant() {
	if s.grantTimer != nil {
		s.grantTimer.Stop()
	}
	now := s.o.Now()
	at, due := s.machine.NextGrant(now)
	if !due || s.ctx.Err() != nil {
		return
	}
	s.grantTimer = time.AfterFunc(max(leastGrantPause, at.Sub(now)), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.ctx.Err() == nil {
			s.do(s.machine.Tick(s.o.Now()))
		}
	})
}

// leastGrantPause is the resolution of timers that is of use here.
const leastGrantPause = time.Millisecond

func (s *Sidecar) decide(id residency.RequestID, a residency.Action) {
	if ch := s.waiting[id]; ch != nil {
		ch <- a
		delete(s.waiting, id)
	}
}

// submit sends one order and tells the machine what became of it.
func (s *Sidecar) submit(a *residency.Submit, fence ident.Fence, server ident.VM) {
	o := engine.Order{Kind: a.Kind, Model: a.Model, Adapter: a.Adapter, Fence: fence}
	begun := time.Now()
	err := s.o.Engine.Submit(s.ctx, s.o.Settings.VM, o, a.ExpectedAccepted, server)
	answer := residency.OrderAccepted
	switch {
	case err == nil:
	case s.o.Engine.Refused(err):
		answer = residency.OrderRefused
	default:
		answer = residency.OrderUnanswered
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
	s.machine.OrderAnswered(s.o.Now(), answer)
	s.mu.Unlock()
	s.readSoon()
}

// readSoon asks for a read of the engine.
func (s *Sidecar) readSoon() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}
