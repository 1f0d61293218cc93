package sidecar

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/internal/admin"
	"github.com/laureltally/laureltally/internal/wait"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/residency"
	"github.com/laureltally/laureltally/transport"
	"github.com/laureltally/laureltally/wire"
)

// Sidecar serves one engine. Create one with New.
type Sidecar struct {
	o        Options
	listener *transport.Listener
	// readNow triggers an immediate read of the engine.
	readNow chan struct{}

	mu        sync.Mutex
	scheduler *residency.Scheduler
	nextID    residency.RequestID
	// waiting holds the channel for the decision on each undecided request.
	waiting map[residency.RequestID]chan residency.Action
	fence   ident.Fence
	// server is the VM id of the engine's server, valid while the engine's start time
	// is serverStarted.
	server            ident.VM
	serverStarted     int64
	engineUnreachable bool
	// grantTimer fires when the next grant is due.
	grantTimer *time.Timer
	status     status
	ctx        context.Context
	// work tracks the goroutines started for the scheduler's actions.
	work sync.WaitGroup
}

// New returns a Sidecar, which is idle until Run.
func New(o Options) *Sidecar {
	o = o.withDefaults()
	return &Sidecar{
		o: o, readNow: make(chan struct{}, 1),
		scheduler: residency.New(residency.Options{}),
		waiting:   make(map[residency.RequestID]chan residency.Action),
		status:    status{changed: make(chan struct{})},
	}
}

// name returns the name by which routers identify the sidecar: the address of its
// engine.
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
	g.Go(func() error { s.becomeOwner(ctx); return nil })
	g.Go(func() error { s.publish(ctx); return nil })
	admin.ServeMetrics(ctx, g, s.o.Settings.AdminListen, s.o.MetricsHandler, s.o.Logger)
	err = g.Wait()
	_ = listener.Close()
	s.work.Wait()
	s.o.Logger.Info("stopped")
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// becomeOwner records this process as the owner of the engine and allows the scheduler
// to send orders. If another VM was the owner before, it first waits for the order
// lease, after which orders of that VM are no longer valid.
func (s *Sidecar) becomeOwner(ctx context.Context) {
	me := owner{VM: s.o.Settings.VM, Incarnation: ident.Incarnation(rand.Uint64() | 1)}
	fence, previous, err := acquireOwnership(ctx, s.o.Store, s.o.Settings.EngineAddress, me)
	if err != nil {
		s.o.Logger.WithError(err).Warn("engine ownership not acquired")
		return
	}
	pause := time.Duration(0)
	if previous != "" && previous != me.VM {
		pause = time.Duration(s.o.Settings.OrderLease)
	}
	s.o.Logger.WithFields(log.Fields{"fence": fence, "previous": previous, "wait_ms": pause.Milliseconds()}).Info("engine ownership acquired")
	if wait.Sleep(ctx, pause) != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fence = fence
	s.scheduler.AllowOrders()
	s.perform(s.scheduler.Tick(s.o.Now()))
}
