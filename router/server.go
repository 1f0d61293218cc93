package router

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/laureltally/laureltally/attempt"
	"github.com/laureltally/laureltally/catalog"
	"github.com/laureltally/laureltally/document"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/internal/boundedhttp"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/transport"
	"github.com/laureltally/laureltally/wire"
)

// Server is a router.
type Server struct {
	o            Options
	attemptNames *attempt.NameGenerator
	pool         *transport.Pool
	fleet        *fleet
	environments map[ident.Environment]*environment
	bodies       *bodyBudget
	draining     atomic.Bool
	background   sync.WaitGroup

	mu   sync.Mutex
	rand *rand.Rand
}

// New returns a router, which serves no requests until Run.
func New(o Options) (*Server, error) {
	o = o.withDefaults()
	s := &Server{
		o:            o,
		attemptNames: attempt.NewNameGenerator(o.Settings.VM, o.Incarnation),
		environments: make(map[ident.Environment]*environment),
		rand:         o.Rand,
		bodies:       newBodyBudget(o.Settings),
	}
	s.pool = transport.NewPool(transport.Options{
		Hello:       s.hello(),
		Credentials: o.Credentials,
		Handler:     transport.HandlerFunc(s.handleStream),
		Logger:      o.Logger,
	})
	f, err := newFleet(s)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	s.fleet = f
	for _, name := range o.Settings.Environments {
		e, err := newEnvironment(s, name)
		if err != nil {
			return nil, fmt.Errorf("environment %s: %w", name, err)
		}
		s.environments[name] = e
	}
	return s, nil
}

func (s *Server) hello() wire.Hello {
	return wire.Hello{
		VM:          s.o.Settings.VM,
		Incarnation: s.o.Incarnation,
		Role:        metastore.RoleRouter,
		Region:      s.o.Settings.Region,
		Zone:        s.o.Settings.Zone,
	}
}

// splitRand returns an independent random source.
func (s *Server) splitRand() *rand.Rand {
	s.mu.Lock()
	defer s.mu.Unlock()
	return rand.New(rand.NewPCG(s.rand.Uint64(), s.rand.Uint64()))
}

// defaultShutdownTimeout limits the duration of a graceful shutdown.
const defaultShutdownTimeout = 60 * time.Second

// Run serves the API and the admin endpoints until ctx ends, and then shuts down
// gracefully: requests in progress are completed.
func (s *Server) Run(ctx context.Context) error {
	callers, err := net.Listen("tcp", s.o.Settings.Listen)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	return s.Serve(ctx, callers)
}

// Serve is like Run but serves the API on an existing listener.
func (s *Server) Serve(ctx context.Context, callers net.Listener) error {
	work, stop := context.WithCancel(context.Background())
	defer stop()
	s.start(work)
	bounded, err := boundedhttp.New(callers, callerLimits(s.o))
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	server := bounded.Server(s.callerRoutes())
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(bounded) }()
	admin, err := s.serveAdmin()
	if err != nil {
		return err
	}
	select {
	case err := <-failed:
		return fmt.Errorf("serve callers: %w", err)
	case <-ctx.Done():
	}
	s.shutdown(server, admin)
	stop()
	s.background.Wait()
	s.pool.Close()
	return nil
}

func (s *Server) start(ctx context.Context) {
	s.background.Go(func() { s.fleet.run(ctx) })
	for _, env := range s.environments {
		s.background.Go(func() { s.plan(ctx, env) })
		s.background.Go(func() { s.followDocument(ctx, env) })
	}
}

// followDocument applies each newer version of an environment's document.
func (s *Server) followDocument(ctx context.Context, env *environment) {
	_ = document.NewWatcher(document.WatcherOptions{
		Store:       s.o.Store,
		Environment: env.name,
		Logger:      s.o.Logger,
		OnChange: func(f document.Active) {
			s.useDocument(env, catalog.New(f.Version, f.Document))
		},
	}).Run(ctx)
}

// useDocument applies a version of a document.
func (s *Server) useDocument(env *environment, c *catalog.Catalog) {
	env.catalog.Store(c)
	env.planner.SetDocument(c.Version(), c.Document())
	if err := env.permits.setLimits(c.Document().Store); err != nil {
		s.o.Logger.WithError(err).WithField("environment", env.name).Warn("weight store limits not applied")
	}
}

// plan keeps the slot allocations of an environment up to date.
func (s *Server) plan(ctx context.Context, env *environment) {
	if err := env.planner.Run(ctx); err != nil && ctx.Err() == nil {
		s.o.Logger.WithError(err).WithField("environment", env.name).Error("planner ended")
	}
}

func (s *Server) shutdown(servers ...*http.Server) {
	timeout := time.Duration(s.o.Settings.ShutdownTimeout)
	if timeout <= 0 {
		timeout = defaultShutdownTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	s.draining.Store(true)
	time.Sleep(time.Duration(s.o.Settings.ShutdownDelay))
	for _, server := range servers {
		if err := server.Shutdown(ctx); err != nil {
			s.o.Logger.WithError(err).Warn("shutdown timeout")
		}
	}
	for _, env := range s.environments {
		env.claims.Close()
	}
	s.o.Logger.Info("stopped")
}
