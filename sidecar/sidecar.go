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
	// kick asks for a read of the engine at once.
	kick chan struct{}

	mu      sync.Mutex
	machine *residency.Scheduler
	nextID  residency.RequestID
	// waiting receives the decision on each request that has none yet.
	waiting map[residency.RequestID]chan residency.Action
	fence   ident.Fence
	// server is the id of the engine's server, valid for its start serverStarted.
	server        ident.VM
	serverStarted int64
	blind         bool
	// grantTimer fires when the next place is due.
	grantTimer *time.Timer
	status     status
	ctx        context.Context
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

// becomeHolder records this process as the one that orders the engine, and lets
// the machine give orders once no other VM's can count any more.
func (s *Sidecar) becomeHolder(ctx context.Context) {
	me := holder{VM: s.o.Settings.VM, Incarnation: ident.Incarnation(rand.Uint64() | 1)}
	fence, previous, err := claim(ctx, s.o.Store, s.o.Settings.EngineAddress, me)
	if err != nil {
		s.o.Logger.WithError(err).Warn("not recorded as the engine's holder")
		return
	}
	pause := time.Duration(0)
	if previous != "" && previous != me.VM {
		pause = time.Duration(s.o.Settings.OrderLease)
	}
	s.o.Logger.WithFields(log.Fields{"fence": fence, "previous": previous, "wait_ms": pause.Milliseconds()}).Info("holder of the engine")
	if wait.Sleep(ctx, pause) != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fence = fence
	s.machine.AllowOrders()
	s.do(s.machine.Tick(s.o.Now()))
}
