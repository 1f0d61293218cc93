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

// Agent is the process beside one upstream VM.
type Agent struct {
	o        Options
	replicas Replicas
	answers  *response.Registry
	catalog  atomic.Pointer[catalog.Catalog]
	listener *transport.Listener
	reports  *reporter
	policy   *policy

	// stopping ends when the agent gives up on what still runs.
	stopping context.Context
	stop     context.CancelFunc

	// background counts goroutines, running the attempts in progress.
	background sync.WaitGroup
	running    sync.WaitGroup
	draining   atomic.Bool
	// leaving is set by a shutdown, which cannot be withdrawn.
	leaving atomic.Bool

	mu      sync.Mutex
	table   *attempt.Table
	cancels map[ident.Attempt]context.CancelFunc
	lanes   map[ident.Model]*lane
	rand    *rand.Rand
}

// New returns an agent that serves nothing until Run.
func New(o Options) (*Agent, error) {
	o = o.withDefaults()
	stopping, stop := context.WithCancel(context.Background())
	a := &Agent{
		o:        o,
		answers:  response.New(response.Options{Now: o.Now, Log: o.Logger}),
		stopping: stopping,
		stop:     stop,
		table:    attempt.NewTable(attempt.Options{Incarnation: o.Incarnation}),
		cancels:  make(map[ident.Attempt]context.CancelFunc),
		lanes:    make(map[ident.Model]*lane),
		rand:     o.Rand,
	}
	a.reports = newReporter(a)
	if o.Engine == nil {
		return a, nil
	}
	replicas, err := newReplicas(a)
	if err != nil {
		return nil, fmt.Errorf("replica manager: %w", err)
	}
	a.replicas = replicas
	return a, nil
}

// Run serves until ctx ends and then shuts down gracefully: no new work is
// taken, queued work is handed back as not run, running work is finished.
func (a *Agent) Run(ctx context.Context) error {
	defer a.stop()
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

// start begins the agent's background work.
func (a *Agent) start() {
	a.background.Go(func() { a.followDocument(a.stopping) })
	a.background.Go(func() { a.followDrain(a.stopping) })
	a.background.Go(func() { a.reports.run(a.stopping) })
	a.background.Go(func() { a.expireLoop(a.stopping) })
	if a.replicas != nil {
		a.background.Go(func() { a.runReplicas(a.stopping) })
		a.background.Go(func() { a.prewarmLoop(a.stopping) })
	}
}

func (a *Agent) runReplicas(ctx context.Context) {
	if err := a.replicas.Run(ctx); err != nil && ctx.Err() == nil {
		a.o.Logger.WithError(err).Error("replica manager ended")
	}
}

// expireInterval is how often ended attempts and answers are looked through.
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
		a.answers.Expire()
	}
}

// spec returns what the document in force says of a model.
func (a *Agent) spec(m ident.Model) (config.Model, bool) {
	c := a.catalog.Load()
	if c == nil {
		return config.Model{}, false
	}
	return c.Model(m)
}

// splitRand returns an independent source. The caller holds a.mu.
func (a *Agent) splitRand() *rand.Rand {
	return rand.New(rand.NewPCG(a.rand.Uint64(), a.rand.Uint64()))
}

// Incarnation returns the number of this life of the agent.
func (a *Agent) Incarnation() ident.Incarnation { return a.o.Incarnation }
