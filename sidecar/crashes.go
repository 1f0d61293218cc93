package sidecar

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/apex/log"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/quarantine"
	"github.com/laureltally/laureltally/quarantine/findingstore"
	"github.com/laureltally/laureltally/residency"
	"github.com/laureltally/laureltally/wire"
)

// holdStoreTimeout bounds the attempts to store a quarantine, beyond outages of the store.
const holdStoreTimeout = time.Minute

// maxStoredAge is the age from which on a crash that a sidecar hears of has been stored by others.
const maxStoredAge = 5 * time.Second

// observeRequest records that a request was granted its reservation.
func (s *Sidecar) observeRequest(id residency.RequestID, r *wire.Reserve) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observer.RequestStarted(s.o.Now(), uint64(id), r.Traits)
}

// observeEnding records how a request ended, as its router reports it. M is nil if the
// router did not.
func (s *Sidecar) observeEnding(id residency.RequestID, m wire.Message) {
	var e quarantine.Ending
	if o, ok := m.(*wire.ReservationOutcome); ok {
		e = quarantine.Ending{NotRun: o.NotRun, Complete: o.Duration > 0, Streamed: o.Streamed}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observer.RequestEnded(s.o.Now(), uint64(id), e)
}

// addFindings takes what a router has found.
func (s *Sidecar) addFindings(m *wire.CrashFindings) {
	now := s.o.Now()
	n := quarantine.Decode(now, m)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range n.Sound {
		held := s.findings.Holds(p.Trait)
		s.findings.AddSound(now, p)
		if held && !s.findings.Holds(p.Trait) {
			s.o.Logger.WithFields(log.Fields{"trait": p.Trait.String(), "request": p.Trait.OfRequest()}).Info("quarantine ended by a sound answer")
			s.work.Go(func() { s.deleteHold(p.Trait) })
		}
	}
	for _, c := range n.Crashes {
		if s.findings.AddCrash(now, c) {
			s.storeCrash(now, c)
		}
	}
	for _, h := range n.Holds {
		if !s.findings.AddHold(now, h) {
			continue
		}
		s.announceNews()
		s.o.Logger.WithFields(log.Fields{"trait": h.Trait.String(), "request": h.Trait.OfRequest(), "remaining_ms": h.Until.Sub(now).Milliseconds()}).Info("quarantine passed on")
		// An older one has been stored.
		if !h.Tentative() && now.Sub(h.At) < holdStoreTimeout {
			s.work.Go(func() { s.storeHold(h) })
		}
	}
}

// observeEngine records the result of a read of the engine. Only a refused connection
// shows that its process has ended; one that is slow or paused does not respond either.
// The caller holds mu.
func (s *Sidecar) observeEngine(snap residency.Snapshot, err error) {
	now := s.o.Now()
	switch {
	case err == nil:
		s.observer.EngineUp(now, snap.Started, snap.Leaving)
	case errors.Is(err, syscall.ECONNREFUSED):
		s.observer.EngineLost(now)
		s.perform(s.scheduler.EngineEnded(now))
	}
}

// storeHold stores a quarantine for processes that start when nobody remembers it.
func (s *Sidecar) storeHold(h quarantine.Hold) {
	ctx, cancel := context.WithTimeout(s.ctx, holdStoreTimeout)
	defer cancel()
	if err := retryStore(ctx, func() error { return findingstore.SaveHold(ctx, s.o.Store, h) }); err != nil {
		s.o.Logger.WithField("trait", h.Trait.String()).WithError(err).Warn("quarantine not stored")
	}
}

// storeCrash stores a crash for processes that start when nobody remembers it: all of them may
// lose power together. What was sound is not stored, so that prompt parts are left out. A router
// that was linked again tells of crashes that have been stored before.
func (s *Sidecar) storeCrash(now time.Time, c quarantine.Crash) {
	_, c.Traits = ident.SplitTraits(c.Traits)
	if len(c.Traits) > 0 && now.Sub(c.At) < maxStoredAge {
		s.crashWriter.Add(quarantine.News{Crashes: []quarantine.Crash{c}})
	}
}

// deleteHold deletes a stored quarantine that has ended early.
func (s *Sidecar) deleteHold(t ident.Trait) {
	ctx, cancel := context.WithTimeout(s.ctx, holdStoreTimeout)
	defer cancel()
	if err := retryStore(ctx, func() error { return findingstore.DeleteHold(ctx, s.o.Store, t) }); err != nil {
		s.o.Logger.WithField("trait", t.String()).WithError(err).Warn("stored quarantine not deleted")
	}
}

// observeCrash passes a crash of the engine on once it is known what was running there. The
// caller holds mu.
func (s *Sidecar) observeCrash() {
	c := s.observer.Crash(s.o.Now())
	if c == nil {
		return
	}
	if s.findings.AddCrash(s.o.Now(), *c) {
		s.storeCrash(s.o.Now(), *c)
	}
	s.o.Metrics.Counter("engine_crashes").Inc(1)
	parts, requests := ident.SplitTraits(c.Traits)
	s.o.Logger.WithFields(log.Fields{
		"started": c.Server.Started, "prompt_parts": ident.JoinTraits(parts), "requests": ident.JoinTraits(requests), "age_ms": s.o.Now().Sub(c.At).Milliseconds(),
	}).Warn("engine crashed")
}
