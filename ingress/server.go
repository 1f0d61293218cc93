package ingress

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/internal/admin"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/serving"
	"github.com/laureltally/laureltally/transport"
	"github.com/laureltally/laureltally/upstreamhttp"
	"github.com/laureltally/laureltally/wire"
)

const (
	// headerReadTimeout bounds the time to read a header; callers are within the
	// configured one, which is not known before the first configuration.
	headerReadTimeout = 10 * time.Second
	// maxHeaderBytes bounds what is read before the configured limit is applied.
	maxHeaderBytes = 128 << 10
)

// Server serves callers. Create one with New.
type Server struct {
	o        Options
	inForce  serving.CurrentConfig
	belief   *belief
	client   *upstreamhttp.Client
	pool     *transport.Pool
	metrics  *metrics
	draining atomic.Bool
	// configAt is when the newest read of the configuration was asked for, as
	// nanoseconds since epoch.
	configAt atomic.Int64
	epoch    time.Time
	// halt ends when whatever has not begun to be answered is given up, since the
	// process has to end.
	halt    context.Context
	haltNow context.CancelFunc
	// stopBy is when halt will end, as nanoseconds since epoch; zero means never.
	stopBy atomic.Int64

	mu    sync.Mutex
	links map[ident.VM]*sidecarLink
}

// New returns a Server. It does nothing before Run.
func New(o Options) (*Server, error) {
	o = o.withDefaults()
	b, err := newBelief(o.Settings)
	if err != nil {
		return nil, err
	}
	s := &Server{
		o: o, belief: b, epoch: o.Now(),
		client:  upstreamhttp.New(upstreamhttp.Options{Now: o.Now}),
		metrics: newMetrics(o.Metrics),
		links:   make(map[ident.VM]*sidecarLink),
	}
	s.halt, s.haltNow = context.WithCancel(context.Background())
	s.pool = transport.NewPool(transport.Options{
		Hello:       wire.Hello{VM: o.Settings.VM, Role: metastore.RoleRouter, Region: o.Settings.Region, Zone: o.Settings.Zone},
		Credentials: o.Credentials,
		Handler:     transport.HandlerFunc(newGatekeeper(s).handle),
		Logger:      o.Logger,
	})
	return s, nil
}

// Run serves until ctx ends and then shuts down gracefully.
func (s *Server) Run(ctx context.Context) error {
	callers, err := net.Listen("tcp4", s.o.Settings.Listen)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	probes, err := net.Listen("tcp4", s.o.Settings.ReadinessListen)
	if err != nil {
		_ = callers.Close()
		return fmt.Errorf("listen for probes: %w", err)
	}
	if s.o.OnListening != nil {
		s.o.OnListening(callers.Addr(), probes.Addr())
	}
	s.o.Logger.WithField("listen", s.o.Settings.Listen).Info("started")
	work, stop := context.WithCancel(context.Background())
	defer stop()
	g, work := errgroup.WithContext(work)
	g.Go(func() error { s.pollConfig(work); return nil })
	g.Go(func() error { s.pollVMs(work); return nil })
	readiness := &http.Server{Handler: s.readinessHandler(), ReadHeaderTimeout: headerReadTimeout}
	server := s.callerServer()
	g.Go(func() error { return served(readiness.Serve(probes)) })
	g.Go(func() error { return served(server.Serve(callers)) })
	admin.ServeMetrics(work, g, s.o.Settings.AdminListen, s.o.MetricsHandler, s.o.Logger)
	select {
	case <-ctx.Done():
	case <-work.Done():
	}
	s.shutdown(server)
	stop()
	_ = readiness.Close()
	s.pool.Close()
	err = g.Wait()
	s.o.Logger.Info("stopped")
	return err
}

// callerServer returns the server for callers. Their idle time is bounded by
// idleTracker, since it changes with the configuration.
func (s *Server) callerServer() *http.Server {
	t := &idleTracker{limit: s.idleLimit, timers: make(map[net.Conn]*time.Timer)}
	return &http.Server{
		Handler:           s,
		ReadHeaderTimeout: headerReadTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         t.state,
	}
}

func (s *Server) idleLimit() time.Duration {
	if snap := s.inForce.Get(); snap != nil {
		return snap.Config.Limits.IdleTimeout
	}
	return 0
}

const (
	// haltSlack is how long before the end of a shutdown requests are given up that
	// have not begun to be answered; it covers writing those answers.
	haltSlack = 700 * time.Millisecond
	// exitSlack is left for the end of the process itself.
	exitSlack = 300 * time.Millisecond
	// stopServe is the time that a request needs, once it has its place, to be
	// answered before a shutdown ends.
	stopServe = 3 * time.Second
)

// stopPatience is how long a request may wait for its place: without bound, or
// while the process stops, as long as leaves time for the answer.
func (s *Server) stopPatience(now time.Time) time.Duration {
	by := s.stopBy.Load()
	if by == 0 {
		return maxRequestTime
	}
	return max(0, s.epoch.Add(time.Duration(by)).Sub(now)-stopServe)
}

// shutdown lets the balancer notice, then closes the listener and waits for the
// requests that run.
func (s *Server) shutdown(server *http.Server) {
	begun := time.Now()
	grace := time.Duration(s.o.Settings.ShutdownTimeout)
	s.stopBy.Store(int64(s.o.Now().Sub(s.epoch) + grace - haltSlack))
	s.draining.Store(true)
	halt := time.AfterFunc(grace-haltSlack, s.haltNow)
	defer halt.Stop()
	s.o.Logger.Info("stopping: not ready any more")
	time.Sleep(s.o.ShutdownDelay)
	ctx, cancel := context.WithDeadline(context.Background(), begun.Add(grace-exitSlack))
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		s.o.Logger.WithError(err).Warn("requests were still running at the end of the shutdown")
	}
}

func served(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("serve: %w", err)
}
