package sidecar

import (
	"time"

	"github.com/apex/log"

	"github.com/laureltally/laureltally/fleet"
	"github.com/laureltally/laureltally/requestlimit"
	"github.com/laureltally/laureltally/residency"
	"github.com/laureltally/laureltally/wire"
)

// addLimits takes what a router has learned of servers' request limits, passes it on and
// keeps to the limit of this engine.
func (s *Sidecar) addLimits(m *wire.ServerLimits) {
	now := s.o.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, st := range requestlimit.Decode(now, m) {
		s.limits.Put(now, st)
	}
	s.applyLimit(now)
}

// observeLimit takes the limit that the engine names in its own reports, if it does. The
// caller holds mu.
func (s *Sidecar) observeLimit(snap *residency.Snapshot) {
	now := s.o.Now()
	if snap.RequestLimit.Named {
		s.limits.Put(now, requestlimit.Statement{Server: s.engineServer(), Limit: snap.RequestLimit, SaidAt: snap.ReadAt})
	}
	s.applyLimit(now)
}

// engineServer identifies the engine's server. The caller holds mu.
func (s *Sidecar) engineServer() fleet.ServerStart {
	return fleet.ServerStart{Address: s.o.Settings.EngineAddress, Started: s.scheduler.Started()}
}

// applyLimit makes the scheduler keep to the newest limit of the engine. The caller holds
// mu.
func (s *Sidecar) applyLimit(now time.Time) {
	limit := s.limits.Limit(now, s.engineServer())
	if limit == s.scheduler.RequestLimit() {
		return
	}
	s.o.Logger.WithFields(log.Fields{"named": limit.Named, "per_second": limit.PerSecond}).Info("request limit of the engine")
	s.perform(s.scheduler.SetRequestLimit(now, limit))
}
