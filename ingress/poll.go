package ingress

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/laureltally/laureltally/decisionlog"
	"github.com/laureltally/laureltally/fleet"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/internal/wait"
	"github.com/laureltally/laureltally/metastore"
)

// firstPollInterval is the pause between reads before the first that succeeds.
const firstPollInterval = 150 * time.Millisecond

// poller reads something again and again.
type poller struct {
	decisionlog.Dependency
	known bool
}

// run calls read until ctx ends.
func (p *poller) run(ctx context.Context, every time.Duration, now func() time.Time, read func(context.Context, time.Time) error) {
	for ctx.Err() == nil {
		begun := now()
		err := read(ctx, begun)
		p.Record(err, log.Fields{"took_ms": now().Sub(begun).Milliseconds()})
		p.known = p.known || err == nil
		pause := every
		if !p.known {
			pause = firstPollInterval
		}
		_ = wait.Sleep(ctx, pause-now().Sub(begun))
	}
}

func (s *Server) poller(what string) *poller {
	return &poller{Dependency: decisionlog.Dependency{Name: what, Logger: s.o.Logger}}
}

func (s *Server) pollConfig(ctx context.Context) {
	s.poller("configuration").run(ctx, s.o.PollInterval, s.o.Now, s.readConfig)
}

func (s *Server) readConfig(ctx context.Context, begun time.Time) error {
	c, err := s.o.Directory.Config(ctx)
	var none *metastore.NotFoundError
	if errors.As(err, &none) && s.inForce.Get() == nil {
		return nil
	}
	if err != nil {
		return err
	}
	s.configAt.Store(int64(begun.Sub(s.epoch)))
	if !s.inForce.Adopt(c) {
		return nil
	}
	s.belief.configured(c.Services)
	s.o.Logger.WithFields(log.Fields{
		"revision": c.Revision, "version": c.Version, "routes": len(c.Routes), "services": len(c.Services),
		"age_ms": s.o.Now().Sub(begun).Milliseconds(),
	}).Info("configuration in force")
	return nil
}

// configAge is the time since the newest successful read was asked for.
func (s *Server) configAge(now time.Time) time.Duration {
	return now.Sub(s.epoch) - time.Duration(s.configAt.Load())
}

func (s *Server) pollVMs(ctx context.Context) {
	malformed := make(map[string]bool)
	s.poller("vm list").run(ctx, s.o.PollInterval, s.o.Now, func(ctx context.Context, begun time.Time) error {
		vms, bad, err := s.o.Directory.VMs(ctx)
		if err != nil {
			return err
		}
		for _, e := range bad {
			if text := e.Error(); !malformed[text] && len(malformed) < maxMalformedNoted {
				malformed[text] = true
				s.o.Logger.WithError(e).Warn("entry of the VM list left out")
			}
		}
		return s.listed(ctx, begun, vms)
	})
}

// maxMalformedNoted bounds the malformed entries that are logged once each.
const maxMalformedNoted = 1000

// listed applies a listing and keeps a link to the sidecar of each engine.
func (s *Server) listed(ctx context.Context, begun time.Time, vms []fleet.VM) error {
	now := s.o.Now()
	changes, err := s.belief.listed(begun, now, vms)
	if err != nil {
		return err
	}
	for _, c := range changes {
		if c.Kind == fleet.Updated {
			continue
		}
		s.o.Logger.WithFields(log.Fields{
			"vm": c.VM.ID, "service": c.VM.Service, "address": c.VM.Address, "zone": c.VM.Zone,
			"change": c.Kind, "age_ms": now.Sub(begun).Milliseconds(),
		}).Info("vm changed")
		if c.Kind == fleet.Removed || c.Kind == fleet.Restarted {
			s.client.CloseIdle(c.VM.Address)
		}
	}
	s.link(ctx)
	return nil
}

// link starts links to the sidecars of new engine VMs and ends those of VMs that
// are gone.
func (s *Server) link(ctx context.Context) {
	snap := s.inForce.Get()
	if snap == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	engines := s.belief.engines(snap.Config.Services)
	for id, l := range s.links {
		if vm, ok := engines[id]; !ok || vm.Address != l.vm.Address {
			l.end()
			delete(s.links, id)
		}
	}
	for id, vm := range engines {
		if s.links[id] == nil {
			s.links[id] = s.startLink(ctx, vm)
		}
	}
}

// sidecar returns the link to a VM's sidecar, or nil.
func (s *Server) sidecar(vm ident.VM) *sidecarLink {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.links[vm]
}
