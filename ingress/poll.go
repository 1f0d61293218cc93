package ingress

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/laureltally/laureltally/decisionlog"
	"github.com/laureltally/laureltally/fleet"
	"github.com/laureltally/laureltally/internal/wait"
	"github.com/laureltally/laureltally/metastore"
)

const (
	// firstPollInterval is the pause between reads before the first successful one.
	firstPollInterval = 150 * time.Millisecond
	// earlyPollInterval is the minimum time between two reads when events ask for one.
	earlyPollInterval = 300 * time.Millisecond
	// failedPollShare is the fraction of the interval after which the next read begins
	// when one has failed, and failingPollShare the same when several have: every call
	// to the store counts.
	failedPollShare  = 0.2
	failingPollShare = 0.6
)

// poller repeats a read and logs when it begins or ceases to fail.
type poller struct {
	decisionlog.Dependency
	succeeded bool
	// failures counts the failed reads since the last successful one.
	failures int
	// early asks for a read before the interval has passed. It may be nil.
	early <-chan struct{}
	// due, if set, returns when the next read is due at the latest after a successful one, or
	// the zero time if the interval alone decides.
	due func() time.Time
	// scheduled, if set, is called with the time of the next read.
	scheduled func(time.Time)
}

// run calls read until ctx ends.
func (p *poller) run(ctx context.Context, interval time.Duration, now func() time.Time, read func(context.Context, time.Time) error) {
	for ctx.Err() == nil {
		begun := now()
		err := read(ctx, begun)
		p.Record(err, log.Fields{"took_ms": now().Sub(begun).Milliseconds()})
		pause := p.pause(interval, err)
		if err == nil && p.due != nil {
			if at := p.due(); !at.IsZero() {
				pause = min(pause, max(earlyPollInterval, at.Sub(begun)))
			}
		}
		if p.scheduled != nil {
			p.scheduled(begun.Add(pause))
		}
		wait.SleepEarly(ctx, pause-now().Sub(begun), earlyPollInterval-now().Sub(begun), p.early)
	}
}

// pause returns the time between the beginnings of a read that ended with err and the
// next one.
func (p *poller) pause(interval time.Duration, err error) time.Duration {
	p.failures++
	if err == nil {
		p.succeeded, p.failures = true, 0
	}
	switch {
	case !p.succeeded:
		return firstPollInterval
	case p.failures == 0:
		return interval
	case p.failures == 1:
		return fraction(failedPollShare, interval)
	}
	return fraction(failingPollShare, interval)
}

func (s *Server) poller(name string) *poller {
	return &poller{Dependency: decisionlog.Dependency{Name: name, Logger: s.o.Logger}}
}

func (s *Server) pollConfig(ctx context.Context) {
	s.awaitFindings(ctx)
	p := s.poller("configuration")
	p.scheduled = func(at time.Time) { s.nextConfigRead.Store(int64(s.sinceEpoch(at))) }
	p.run(ctx, s.o.PollInterval, s.o.Now, s.readConfig)
}

func (s *Server) readConfig(ctx context.Context, begun time.Time) error {
	c, err := s.o.Directory.Config(ctx)
	var none *metastore.NotFoundError
	if errors.As(err, &none) && s.currentConfig.Get() == nil {
		return nil
	}
	if err != nil {
		return err
	}
	adopted := s.currentConfig.Adopt(c)
	s.configRead.Store(newConfigRead(s.sinceEpoch(begun), c, s.currentConfig.Get()))
	if !adopted {
		return nil
	}
	s.clusterState.setServices(c.Services)
	// Which VMs have sidecars is known only now if the VM list was read first.
	s.updateLinks(ctx)
	s.o.Logger.WithFields(log.Fields{
		"revision": c.Revision, "version": c.Version, "routes": len(c.Routes), "services": len(c.Services),
		"age_ms": s.o.Now().Sub(begun).Milliseconds(),
	}).Info("configuration applied")
	return nil
}

// sinceEpoch returns the time from the start of the server.
func (s *Server) sinceEpoch(t time.Time) time.Duration { return t.Sub(s.epoch) }

// configAge returns the time since the newest successful read was started.
func (s *Server) configAge(now time.Time) time.Duration {
	age := s.sinceEpoch(now)
	if r := s.configRead.Load(); r != nil {
		age -= r.begun
	}
	return age
}

func (s *Server) pollVMs(ctx context.Context) {
	logged := make(map[string]bool)
	listed, restores := false, uint64(0)
	p := s.poller("vm list")
	p.early = s.listOutdated
	// VMs that are kept after an outage are removed by a read, as soon as that is allowed.
	p.due = func() time.Time {
		_, until := s.clusterState.absentVMs()
		return until
	}
	p.run(ctx, s.o.PollInterval, s.o.Now, func(ctx context.Context, begun time.Time) error {
		listing, err := s.o.Directory.VMs(ctx)
		if err != nil {
			return err
		}
		for _, e := range listing.Malformed {
			if text := e.Error(); !logged[text] && len(logged) < maxMalformedLogged {
				logged[text] = true
				s.o.Logger.WithError(e).Warn("VM list entry skipped")
			}
		}
		if listed && listing.Restores > restores {
			s.o.Logger.WithFields(log.Fields{"restores": listing.Restores, "vms": len(listing.VMs)}).Warn("metadata store restored from an older copy")
			s.metrics.storeRestores.Inc(1)
		}
		listed, restores = true, listing.Restores
		s.software.observe(begun, listing)
		return s.applyVMs(ctx, begun, listing)
	})
}

// maxMalformedLogged bounds the malformed entries that are logged once each.
const maxMalformedLogged = 1000

// applyVMs applies a VM list and maintains a link to the sidecar of each engine.
func (s *Server) applyVMs(ctx context.Context, begun time.Time, l fleet.Listing) error {
	now, last := s.o.Now(), s.clusterState.listedAt()
	changes, err := s.clusterState.applyVMs(begun, now, l)
	if err != nil {
		return err
	}
	if absent, until := s.clusterState.absentVMs(); absent > 0 {
		s.o.Logger.WithFields(log.Fields{
			"vms": absent, "listed": len(l.VMs), "since_list_ms": ms(begun.Sub(last)), "remaining_ms": ms(until.Sub(begun)),
		}).Warn("vms missing from the list are kept, as they may register again")
	}
	for _, c := range changes {
		if c.Kind == fleet.Updated {
			continue
		}
		f := log.Fields{
			"vm": c.VM.ID, "service": c.VM.Service, "address": c.VM.Address, "zone": c.VM.Zone,
			"change": c.Kind, "age_ms": now.Sub(begun).Milliseconds(),
		}
		if c.VM.RemovalAnnounced {
			f["removed_in_ms"] = ms(c.VM.RemovedIn)
		}
		s.o.Logger.WithFields(f).Info("vm changed")
		if c.Kind != fleet.Leaving {
			s.observeSignOfCrash()
		}
		if c.Kind == fleet.Removed || c.Kind == fleet.Restarted {
			s.client.CloseIdle(c.VM.Address)
		}
	}
	s.updateLinks(ctx)
	return nil
}

// updateLinks starts links to the sidecars of new engine VMs and closes those of
// removed VMs. It is called after each read of the list or the configuration.
func (s *Server) updateLinks(ctx context.Context) {
	s.linkUpdate.Lock()
	defer s.linkUpdate.Unlock()
	snap := s.currentConfig.Get()
	if snap == nil || s.clusterState.listedAt().IsZero() {
		return
	}
	engines := s.clusterState.engines(snap.Config.Services)
	s.allotments.setEngines(s.clusterState.listedAt(), engines)
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, l := range s.links {
		if engines[address] == nil {
			l.stop()
			delete(s.links, address)
			wait.Notify(s.origins.homesChanged)
		}
	}
	for address, vm := range engines {
		if s.links[address] == nil {
			s.links[address] = s.startLink(ctx, vm)
		}
	}
}

// sidecar returns the link to the sidecar beside an engine, or nil.
func (s *Server) sidecar(engineAddress string) *sidecarLink {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.links[engineAddress]
}
