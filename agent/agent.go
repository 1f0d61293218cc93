package agent

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/laureltally/laureltally/attempt"
	"github.com/laureltally/laureltally/catalog"
	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/response"
	"github.com/laureltally/laureltally/transport"
)

// Agent is the process that runs beside one upstream VM.
type Agent struct {
	o         Options
	replicas  Replicas
	responses *response.Registry
	catalog   atomic.Pointer[catalog.Catalog]
	listener  *transport.Listener
	reports   *reporter
	policy    *policy

	// workCtx is canceled when the agent stops the attempts still running.
	workCtx    context.Context
	cancelWork context.CancelFunc

	// background counts goroutines; running counts attempts in progress.
	background sync.WaitGroup
	running    sync.WaitGroup
	draining   atomic.Bool
	// shuttingDown is set by a shutdown, which cannot be canceled.
	shuttingDown atomic.Bool

	mu          sync.Mutex
	table       *attempt.Table
	cancels     map[ident.Attempt]context.CancelFunc
	modelQueues map[ident.Model]*modelQueue
	rand        *rand.Rand
}

// New returns an agent. It serves nothing until Run.
func New(o Options) (*Agent, error) {
	o = o.withDefaults()
	workCtx, cancelWork := context.WithCancel(context.Background())
	a := &Agent{
		o:           o,
		responses:   response.New(response.Options{Now: o.Now, Log: o.Logger}),
		workCtx:     workCtx,
		cancelWork:  cancelWork,
		table:       attempt.NewTable(attempt.Options{Incarnation: o.Incarnation}),
		cancels:     make(map[ident.Attempt]context.CancelFunc),
		modelQueues: make(map[ident.Model]*modelQueue),
		rand:        o.Rand,
	}
	a.reports = newReporter(a)
	if o.Engine == nil {
		return a, nil
	}
	replicas, err := newReplicas(a)
	if err != nil {
		return nil, fmt.Errorf("new replica manager: %w", err)
	}
	a.replicas = replicas
	return a, nil
}

// Run serves until ctx ends and then shuts down gracefully: new requests are
// refused, queued ones are refused as not run, running ones are completed.
func (a *Agent) Run(ctx context.Context) error {
	defer a.cancelWork()
	ln, err := transport.Listen(a.o.Settings.PeerListen, transport.Options{
		Hello:       a.hello(),
		Credentials: a.o.Credentials,
		Handler:     transport.HandlerFunc(a.handleStream),
		Logger:      a.o.Logger,
	})
	if err != nil {
		return fmt.Errorf("listen for routers: %w", err)
	}
	a.listener = ln
	defer func() { _ = ln.Close() }()
	closeAdmin, err := a.serveAdmin()
	if err != nil {
		return err
	}
	defer closeAdmin()
	a.start()
	<-ctx.Done()
	a.shutdown()
	return nil
}

// start starts the background goroutines.
func (a *Agent) start() {
	a.background.Go(func() { a.watchDocument(a.workCtx) })
	a.background.Go(func() { a.followDrainOrder(a.workCtx) })
	a.background.Go(func() { a.reports.run(a.workCtx) })
	a.background.Go(func() { a.expireLoop(a.workCtx) })
	if a.replicas != nil {
		a.background.Go(func() { a.runReplicas(a.workCtx) })
		a.background.Go(func() { a.prewarmLoop(a.workCtx) })
	}
}

func (a *Agent) runReplicas(ctx context.Context) {
	if err := a.replicas.Run(ctx); err != nil && ctx.Err() == nil {
		a.o.Logger.WithError(err).Error("replica manager failed")
	}
}

// expireInterval is how often expired attempts and responses are dropped.
const expireInterval = time.Second

func (a *Agent) expireLoop(ctx context.Context) {
	tick := time.NewTicker(expireInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		a.mu.Lock()
		a.table.Expire(a.o.Now())
		a.mu.Unlock()
		a.responses.Expire()
	}
}

// spec returns a model's entry in the current document.
func (a *Agent) spec(m ident.Model) (config.Model, bool) {
	c := a.catalog.Load()
	if c == nil {
		return config.Model{}, false
	}
	return c.Model(m)
}

// splitRand returns an independent random source. The caller holds a.mu.
func (a *Agent) splitRand() *rand.Rand {
	return rand.New(rand.NewPCG(a.rand.Uint64(), a.rand.Uint64()))
}

// Incarnation returns the incarnation of this agent process.
func (a *Agent) Incarnation() ident.Incarnation { return a.o.Incarnation }
