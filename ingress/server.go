package ingress

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/laureltally/laureltally/internal/admin"
	"github.com/laureltally/laureltally/internal/boundedhttp"
	"github.com/laureltally/laureltally/internal/sockopt"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/quarantine"
	"github.com/laureltally/laureltally/serving"
	"github.com/laureltally/laureltally/transport"
	"github.com/laureltally/laureltally/upstreamhttp"
	"github.com/laureltally/laureltally/wire"
)

const (
	// headerReadTimeout bounds the time to read a header. The configured limit, which
	// callers respect, is not known before the first configuration.
	headerReadTimeout = 10 * time.Second
	// maxHeaderBytes bounds what is read before the configured limit is applied.
	maxHeaderBytes = 128 << 10
)

// farIdleTimeout is the idle timeout of connections to other regions, which are probed
// after half of it. A sidecar that restarts is missed for that long there.
const farIdleTimeout = 4 * time.Second

// Server serves callers. Create one with New.
type Server struct {
	o             Options
	currentConfig serving.CurrentConfig
	clusterState  *clusterState
	client        *upstreamhttp.Client
	// nearPool holds the connections to sidecars of this region, farPool those to other
	// regions, which are probed less often: most of them are idle.
	nearPool, farPool *transport.Pool
	metrics           *metrics
	// heldBytes counts what is held for callers; nil if there is no budget.
	heldBytes *heldBytes
	draining  atomic.Bool
	// configRead is the newest successful read of the configuration.
	configRead atomic.Pointer[configRead]
	// nextConfigRead is when the next read of the configuration begins, in nanoseconds
	// since epoch.
	nextConfigRead atomic.Int64
	epoch          time.Time
	// forceStop is cancelled when the attempts of all running requests are given up,
	// since the process has to exit: requests without a response get one, and responses
	// that have begun are broken off.
	forceStop       context.Context
	cancelForceStop context.CancelFunc
	// forceStopAt is when forceStop will be cancelled, in nanoseconds since epoch; zero
	// means never.
	forceStopAt atomic.Int64
	// stopBegun is when the shutdown began, in nanoseconds since epoch.
	stopBegun atomic.Int64
	// requests counts the requests of callers, for the shutdown.
	requests requestCount

	// listOutdated asks for an early read of the list of VMs, after a request has met a
	// server that the list does not have.
	listOutdated chan struct{}

	quarantine     quarantineState
	crashChecks    crashChecks
	allotments     *allotments
	sharedFindings sharedFindings

	software *softwareVersions
	origins  *origins
	archive  *streamArchive

	// linkUpdate orders updates of links, so that the last one is by the newest state.
	linkUpdate sync.Mutex
	mu         sync.Mutex
	// links holds the link to each sidecar by the address of its engine.
	links map[string]*sidecarLink
}

// New returns a Server, which is inactive until Run is called.
func New(o Options) (*Server, error) {
	o = o.withDefaults()
	state, err := newClusterState(o.Settings, o.PollInterval)
	if err != nil {
		return nil, err
	}
	s := &Server{
		o: o, clusterState: state, epoch: o.Now(),
		client:  upstreamhttp.New(upstreamOptions(o)),
		metrics: newMetrics(o.Metrics),
		links:   make(map[string]*sidecarLink),

		listOutdated: make(chan struct{}, 1),
	}
	s.allotments = newAllotments(s)
	s.software, s.origins = newSoftwareVersions(s), newOrigins(s)
	s.archive = &streamArchive{s: s}
	if s.heldBytes = newHeldBytes(o, s.metrics); s.heldBytes != nil {
		s.heldBytes.headerLimit = s.headerLimit
	}
	s.quarantine.detector = quarantine.NewDetector(s.epoch, quarantine.Options{Stagger: quarantine.StaggerOf(o.Settings.VM)})
	s.quarantine.readOnce = make(chan struct{})
	s.sharedFindings.writer = newFindingWriter(s)
	s.forceStop, s.cancelForceStop = context.WithCancel(context.Background())
	handler := transport.HandlerFunc(newPermitServer(s).handle)
	s.nearPool = transport.NewPool(s.transportOptions(handler))
	far := s.transportOptions(handler)
	far.DialIdleTimeout, far.KeepAlive = farIdleTimeout, farIdleTimeout/2
	s.farPool = transport.NewPool(far)
	return s, nil
}

// upstreamOptions limits the kernel's receive buffers if the memory of the VM is limited.
func upstreamOptions(o Options) upstreamhttp.Options {
	u := upstreamhttp.Options{Now: o.Now}
	if o.Settings.MemoryMB > 0 {
		u.ReceiveBuffer = upstreamReceiveBuffer
	}
	return u
}

func (s *Server) transportOptions(h transport.Handler) transport.Options {
	return transport.Options{
		Hello:       wire.Hello{VM: s.o.Settings.VM, Role: metastore.RoleRouter, Region: s.o.Settings.Region, Zone: s.o.Settings.Zone},
		Credentials: s.o.Credentials,
		Handler:     h,
		Logger:      s.o.Logger,
	}
}

// Run serves until ctx ends and then shuts down gracefully.
func (s *Server) Run(ctx context.Context) error {
	callers, err := s.listenForCallers(context.WithoutCancel(ctx))
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	probes, err := boundedhttp.Listen("tcp4", s.o.Settings.ReadinessListen, boundedhttp.Small())
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
	g.Go(func() error { s.software.run(work); return nil })
	g.Go(func() error { s.origins.run(work); return nil })
	g.Go(func() error { s.archive.run(work); return nil })
	g.Go(func() error { s.loadFindings(work); return nil })
	g.Go(func() error { s.sharedFindings.writer.Run(work); return nil })
	g.Go(func() error { s.readFindings(work); return nil })
	readiness := probes.Server(s.readinessHandler())
	server := s.callerServer()
	g.Go(func() error { return serveError(readiness.Serve(probes)) })
	g.Go(func() error { return serveError(server.Serve(callers)) })
	admin.ServeMetrics(work, g, s.o.Settings.AdminListen, s.o.MetricsHandler, s.o.Logger)
	select {
	case <-ctx.Done():
	case <-work.Done():
	}
	s.shutdown(server)
	stop()
	_ = readiness.Close()
	s.nearPool.Close()
	s.farPool.Close()
	err = g.Wait()
	s.o.Logger.Info("stopped")
	return err
}

// listenForCallers listens for callers. If the memory is limited, their bytes are counted, and
// the kernel's receive buffers are bounded from the handshake on.
func (s *Server) listenForCallers(ctx context.Context) (net.Listener, error) {
	if s.heldBytes == nil {
		return new(net.ListenConfig).Listen(ctx, "tcp4", s.o.Settings.Listen)
	}
	lc := net.ListenConfig{Control: callerSocket}
	ln, err := lc.Listen(ctx, "tcp4", s.o.Settings.Listen)
	if err != nil {
		return nil, err
	}
	return callerListener{Listener: ln, held: s.heldBytes}, nil
}

// callerSocket sets the options of the socket on which callers are accepted. The small receive
// buffer is of use only with segments that fit into it.
func callerSocket(network, address string, c syscall.RawConn) error {
	if sockopt.MaxSegment(callerSegment)(network, address, c) != nil {
		return sockopt.ReceiveBuffer(bodyReceiveBuffer)(network, address, c)
	}
	return sockopt.ReceiveBuffer(callerReceiveBuffer)(network, address, c)
}

// callerServer returns the server for callers. Their idle time is bounded by
// idleTracker because the limit changes with the configuration.
func (s *Server) callerServer() *http.Server {
	t := &idleTracker{limit: s.idleLimit, timers: make(map[net.Conn]*time.Timer)}
	return &http.Server{
		Handler:           s,
		ReadHeaderTimeout: headerReadTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         t.state,
		ConnContext:       s.connContext,
	}
}

func (s *Server) idleLimit() time.Duration {
	if snap := s.currentConfig.Get(); snap != nil {
		return snap.Config.Limits.IdleTimeout
	}
	return 0
}

// headerLimit returns the configured limit of a header in bytes, or zero.
func (s *Server) headerLimit() int {
	if snap := s.currentConfig.Get(); snap != nil {
		return snap.Config.Limits.HeaderBytes
	}
	return 0
}

func serveError(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("serve: %w", err)
}
