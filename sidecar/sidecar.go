package sidecar

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/internal/admin"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/quarantine"
	"github.com/laureltally/laureltally/quarantine/findingstore"
	"github.com/laureltally/laureltally/requestlimit"
	"github.com/laureltally/laureltally/residency"
	"github.com/laureltally/laureltally/resume"
	"github.com/laureltally/laureltally/resume/originstore"
	"github.com/laureltally/laureltally/serving"
	"github.com/laureltally/laureltally/transport"
	"github.com/laureltally/laureltally/wire"
)

// Sidecar serves one engine. Create one with New.
type Sidecar struct {
	o        Options
	listener *transport.Listener
	// parallelLoads is the newest estimate of a router of how many loads the weight
	// store runs at full speed, or zero.
	parallelLoads atomic.Int64
	// readNow triggers an immediate read of the engine, and configOutdated an early one of the
	// configuration.
	readNow, configOutdated chan struct{}

	streamsMu sync.Mutex
	// streams holds the software versions that began streams, as told by routers.
	streams resume.Records
	// streamArchive stores those that routers ask it to.
	streamArchive *originstore.Writer

	allotments *allotments

	mu        sync.Mutex
	scheduler *residency.Scheduler
	// config is the newest configuration, or nil before the first.
	config *serving.Config
	nextID residency.RequestID
	// waiting holds the channel for the decision on each undecided request.
	waiting map[residency.RequestID]chan residency.Action
	fence   ident.Fence
	// server is the VM id of the engine's server, valid while the engine's start time
	// is serverStarted.
	server        ident.VM
	serverStarted int64
	// identifiedAt is when the list was last read to find the server. It is used by the
	// goroutine that reads the engine only.
	identifiedAt      time.Time
	engineUnreachable bool
	// grantTimer fires when the next grant is due.
	grantTimer *time.Timer
	status     status
	// observer records what was running when the engine crashed.
	observer *quarantine.Observer
	// findings holds what is told to all routers.
	findings quarantine.Findings
	// crashWriter stores crashes for processes that start when all have ended.
	crashWriter *findingstore.Writer
	// newsChanged is broadcast when there are newer findings or limits than announced.
	newsChanged *signal
	announced   uint64
	// limits holds the request limits that servers have named.
	limits requestlimit.Board
	ctx    context.Context
	// work tracks the goroutines started for the scheduler's actions.
	work sync.WaitGroup
}

// New returns a Sidecar, which is idle until Run.
func New(o Options) *Sidecar {
	o = o.withDefaults()
	crashes := findingstore.NewWriter(o.Store, func(err error) { o.Logger.WithError(err).Warn("finding not stored") })
	return &Sidecar{
		o: o, readNow: make(chan struct{}, 1), configOutdated: make(chan struct{}, 1),
		scheduler: residency.New(residency.Options{}),
		waiting:   make(map[residency.RequestID]chan residency.Action),
		status:    status{changed: make(chan struct{})},
		observer:  quarantine.NewObserver(o.Settings.EngineAddress),

		allotments:  newAllotments(o.Now()),
		newsChanged: newSignal(),
		crashWriter: crashes,

		streamArchive: newStreamArchive(o),
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
	g.Go(func() error { s.ownEngine(ctx); return nil })
	g.Go(func() error { s.publish(ctx); return nil })
	g.Go(func() error { s.crashWriter.Run(ctx); return nil })
	g.Go(func() error { s.streamArchive.Run(ctx); return nil })
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
