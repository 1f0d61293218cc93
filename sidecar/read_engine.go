package sidecar

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/laureltally/laureltally/internal/wait"
	"github.com/laureltally/laureltally/residency"
)

// readEngine polls the engine's state until ctx ends.
func (s *Sidecar) readEngine(ctx context.Context) {
	for ctx.Err() == nil {
		begun := s.o.Now()
		snap, err := s.o.Engine.Report(ctx)
		snap.ReadAt = begun
		if err == nil {
			s.identify(ctx, &snap)
		}
		s.observe(snap, err)
		if pause := s.o.Engine.Pause(err); pause > 0 {
			s.o.Logger.WithField("pause_ms", pause.Milliseconds()).Info("engine wants no calls")
			if wait.Sleep(ctx, pause) != nil {
				return
			}
		}
		select {
		case <-ctx.Done():
		case <-s.readNow:
		case <-time.After(s.pause()):
		}
	}
}

func (s *Sidecar) observe(snap residency.Snapshot, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observeEngine(snap, err)
	if err != nil {
		if !s.engineUnreachable {
			s.o.Logger.WithField("dependency", "engine").WithError(err).Warn("dependency lost")
		}
		s.engineUnreachable = true
		s.perform(s.scheduler.Tick(s.o.Now()))
		return
	}
	if s.engineUnreachable {
		s.o.Logger.WithFields(log.Fields{"dependency": "engine", "loaded": len(snap.Loaded), "at_hand": len(snap.Tiers), "started": snap.Started}).Info("dependency regained")
	}
	s.engineUnreachable = false
	s.perform(s.scheduler.Observe(s.o.Now(), snap))
	s.recordPace()
	s.observeLimit(&snap)
}

// identifyInterval is the minimum time between two reads of the list of VMs while the
// engine's server is not listed yet. Servers register about once a second.
const identifyInterval = 500 * time.Millisecond

// identify looks up the id of the engine's server in the list of VMs, once for each
// start of the server.
func (s *Sidecar) identify(ctx context.Context, snap *residency.Snapshot) {
	s.mu.Lock()
	known := s.server != "" && s.serverStarted == snap.Started
	snap.VM = s.server
	s.mu.Unlock()
	if known {
		return
	}
	snap.VM = ""
	if snap.ReadAt.Sub(s.identifiedAt) < identifyInterval {
		return
	}
	s.identifiedAt = snap.ReadAt
	listing, err := s.o.Directory.VMs(ctx)
	if err != nil {
		return
	}
	for _, v := range listing.VMs {
		if v.Address == s.o.Settings.EngineAddress && v.Started == snap.Started {
			s.mu.Lock()
			s.server, s.serverStarted = v.ID, v.Started
			s.mu.Unlock()
			snap.VM = v.ID
			s.o.Logger.WithFields(log.Fields{"server": v.ID, "started": v.Started}).Info("engine identified")
		}
	}
}

func (s *Sidecar) pause() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.PollDelay(s.o.Now(), s.o.IdleRead, s.o.BusyRead)
}
