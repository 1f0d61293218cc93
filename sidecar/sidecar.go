package sidecar

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/residency"
	"github.com/laureltally/laureltally/transport"
	"github.com/laureltally/laureltally/wire"
)

// Sidecar serves one engine. Create one with New.
type Sidecar struct {
	o        Options
	listener *transport.Listener
	// kick asks for a read of the engine at once.
	kick chan struct{}

	mu      sync.Mutex
	machine *residency.Machine
	nextID  residency.RequestID
	// waiting receives the decision on each request that has none yet.
	waiting map[residency.RequestID]chan residency.Action
	fence   ident.Fence
	// server is the id of the engine's server, valid for its start serverStarted.
	server        ident.VM
	serverStarted int64
	blind         bool
	status        status
	ctx           context.Context
	// work is what the machine's decisions have begun.
	work sync.WaitGroup
}

// New returns a Sidecar. It does nothing before Run.
func New(o Options) *Sidecar {
	o = o.withDefaults()
	return &Sidecar{
		o: o, kick: make(chan struct{}, 1),
		machine: residency.New(residency.Options{}),
		waiting: make(map[residency.RequestID]chan residency.Action),
		status:  status{changed: make(chan struct{})},
	}
}

// name is what routers know the sidecar by: the address of its engine.
func (s *Sidecar) name() ident.VM { return ident.VM(s.o.Settings.EngineAddress) }

// Run serves until ctx ends.
func (s *Sidecar) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	s.ctx = ctx
	listener, err := transport.Listen(s.o.Settings.PeerListen, transport.Options{
		Hello:       wire.Hello{VM: s.name(), Role: metastore.RoleAgent, Region: s.o.Settings.Region, Zone: s.o.Settings.Zone},
		Credentials: s.o.Credentials,
		Handler:     transport.HandlerFunc(s.handle),
		Logger:      s.o.Logger,
	})
	if err != nil {
		return fmt.Errorf("listen for routers: %w", err)
	}
	s.listener = listener
	s.o.Logger.WithFields(log.Fields{"engine": s.o.Settings.EngineAddress, "service": s.o.Settings.Service}).Info("started")
	g.Go(func() error { s.readConfig(ctx); return nil })
	g.Go(func() error { s.readEngine(ctx); return nil })
	g.Go(func() error { s.becomeHolder(ctx); return nil })
	g.Go(func() error { s.publish(ctx); return nil })
	s.serveAdmin(ctx, g)
	err = g.Wait()
	_ = listener.Close()
	s.work.Wait()
	s.o.Logger.Info("stopped")
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// serveAdmin serves metrics until ctx ends.
func (s *Sidecar) serveAdmin(ctx context.Context, g *errgroup.Group) {
	if s.o.MetricsHandler == nil {
		return
	}
	ln, err := net.Listen("tcp4", s.o.Settings.AdminListen)
	if err != nil {
		s.o.Logger.WithError(err).Warn("metrics are not served")
		return
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", s.o.MetricsHandler)
	admin := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	g.Go(func() error {
		if err := admin.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve metrics: %w", err)
		}
		return nil
	})
	g.Go(func() error { <-ctx.Done(); return admin.Close() })
}

// becomeHolder records this process as the one that orders the engine, and lets
// the machine give orders once no other VM's can count any more.
func (s *Sidecar) becomeHolder(ctx context.Context) {
	me := holder{VM: s.o.Settings.VM, Incarnation: ident.Incarnation(rand.Uint64() | 1)}
	fence, previous, err := claim(ctx, s.o.Store, s.o.Settings.EngineAddress, me)
	if err != nil {
		s.o.Logger.WithError(err).Warn("not recorded as the engine's holder")
		return
	}
	wait := time.Duration(0)
	if previous != "" && previous != me.VM {
		wait = time.Duration(s.o.Settings.OrderLease)
	}
	s.o.Logger.WithFields(log.Fields{"fence": fence, "previous": previous, "wait_ms": wait.Milliseconds()}).Info("holder of the engine")
	select {
	case <-ctx.Done():
		return
	case <-time.After(wait):
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fence = fence
	s.machine.AllowOrders()
	s.do(s.machine.Tick(s.o.Now()))
}

// readConfig keeps the machine's description of the engine current.
func (s *Sidecar) readConfig(ctx context.Context) {
	known, lost := false, false
	for ctx.Err() == nil {
		c, err := s.o.Directory.Config(ctx)
		var none *metastore.NotFoundError
		switch {
		case errors.As(err, &none):
		case err != nil:
			if !lost {
				s.o.Logger.WithField("dependency", "configuration").WithError(err).Warn("dependency lost")
			}
			lost = true
		default:
			if lost {
				s.o.Logger.WithField("dependency", "configuration").Info("dependency regained")
			}
			lost = false
			if sv := c.Services[s.o.Settings.Service]; sv != nil && sv.Engine != nil {
				known = true
				s.mu.Lock()
				s.machine.Configure(sv.Engine)
				s.mu.Unlock()
			}
		}
		pause := s.o.ConfigInterval
		if !known {
			pause = firstReadPause
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// firstReadPause is the pause between reads before the first that succeeds.
const firstReadPause = 150 * time.Millisecond

// readEngine reads the engine's state again and again.
func (s *Sidecar) readEngine(ctx context.Context) {
	for ctx.Err() == nil {
		begun := s.o.Now()
		snap, err := s.o.Engine.Report(ctx)
		snap.ReadAt = begun
		if err == nil {
			s.identify(ctx, &snap)
		}
		s.observe(snap, err)
		select {
		case <-ctx.Done():
		case <-s.kick:
		case <-time.After(s.pause()):
		}
	}
}

func (s *Sidecar) observe(snap residency.Snapshot, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		if !s.blind {
			s.o.Logger.WithField("dependency", "engine").WithError(err).Warn("dependency lost")
		}
		s.blind = true
		s.do(s.machine.Tick(s.o.Now()))
		return
	}
	if s.blind {
		s.o.Logger.WithFields(log.Fields{"dependency": "engine", "loaded": len(snap.Loaded), "at_hand": len(snap.Tiers), "started": snap.Started}).Info("dependency regained")
	}
	s.blind = false
	s.do(s.machine.Observe(s.o.Now(), snap))
}

// identify finds the id of the engine's server in the list of VMs, once for each
// start of it.
func (s *Sidecar) identify(ctx context.Context, snap *residency.Snapshot) {
	s.mu.Lock()
	known := s.server != "" && s.serverStarted == snap.Started
	snap.VM = s.server
	s.mu.Unlock()
	if known {
		return
	}
	snap.VM = ""
	vms, _, err := s.o.Directory.VMs(ctx)
	if err != nil {
		return
	}
	for _, v := range vms {
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
	if s.machine.Expecting() {
		return s.o.BusyRead
	}
	return s.o.IdleRead
}

// do carries out what the machine decided. The caller holds mu.
func (s *Sidecar) do(actions []residency.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case *residency.Grant:
			s.decide(a.ID, a)
		case *residency.Refuse:
			s.decide(a.ID, a)
		case *residency.Submit:
			fence, server := s.fence, s.server
			s.work.Go(func() { s.submit(a, fence, server) })
		case *residency.Fetch:
			s.work.Go(func() { s.fetch(a) })
		}
	}
}

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
	err := s.o.Engine.Submit(s.ctx, s.o.Settings.VM, o, a.After, server)
	answer := residency.OrderAccepted
	switch {
	case err == nil:
	case s.o.Engine.Refused(err):
		answer = residency.OrderRefused
	default:
		answer = residency.OrderLost
	}
	l := s.o.Logger.WithFields(log.Fields{
		"order": a.Kind, "model": a.Model, "adapter": a.Adapter, "after": a.After, "fence": fence,
		"server": server, "why": a.Why, "took_ms": time.Since(begun).Milliseconds(),
	})
	if err != nil {
		l.WithError(err).Warn("order not accepted")
	} else {
		l.Info("order accepted")
	}
	s.o.Metrics.Tagged(map[string]string{"kind": string(a.Kind)}).Counter("orders").Inc(1)
	s.mu.Lock()
	s.machine.Submitted(s.o.Now(), answer)
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
