package sidecar

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/internal/wait"
)

// restoreSpread is the time over which the sidecars of an installation write their
// records again after a restore of the store, so that they stay within its rates.
const restoreSpread = 2 * time.Second

// ownEngine acquires the engine and keeps its record in the store.
func (s *Sidecar) ownEngine(ctx context.Context) {
	me := owner{VM: s.o.Settings.VM, Incarnation: ident.Incarnation(rand.Uint64() | 1)}
	restores := s.o.Restores()
	o, err := acquireOwnership(ctx, s.o.Store, s.o.Settings.EngineAddress, me)
	if err != nil {
		s.o.Logger.WithError(err).Warn("engine ownership not acquired")
		return
	}
	if err := s.recallLateOrders(ctx); err != nil {
		s.o.Logger.WithError(err).Warn("unanswered orders not recalled")
		return
	}
	s.startOrders(ctx, o)
	for wait.Sleep(ctx, s.o.ConfigInterval+time.Duration(rand.Float64()*float64(restoreSpread))) == nil {
		now := s.o.Restores()
		if now == restores {
			continue
		}
		restores = now
		state, err := restoreOwnership(ctx, s.o.Store, s.o.Settings.EngineAddress, me, o)
		if err != nil {
			return
		}
		s.o.Logger.WithFields(log.Fields{"restores": restores, "record": state}).Info("engine ownership checked after a restore of the store")
		if state == recordSuperseded {
			s.stopOrders()
			return
		}
	}
}

// startOrders allows the scheduler to send orders. If another VM owned the engine before,
// it first waits for the order lease, after which orders of that VM are no longer valid.
func (s *Sidecar) startOrders(ctx context.Context, o ownership) {
	pause := time.Duration(0)
	if o.replaced.VM != "" && o.replaced.VM != s.o.Settings.VM {
		pause = time.Duration(s.o.Settings.OrderLease)
	}
	s.o.Logger.WithFields(log.Fields{"fence": o.fence, "previous": o.replaced.VM, "wait_ms": pause.Milliseconds()}).Info("engine ownership acquired")
	if wait.Sleep(ctx, pause) != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fence = o.fence
	s.scheduler.AllowOrders()
	s.perform(s.scheduler.Tick(s.o.Now()))
}

// stopOrders stops sending orders, since another process owns the engine.
func (s *Sidecar) stopOrders() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.StopOrders()
}
