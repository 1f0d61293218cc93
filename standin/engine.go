package standin

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/gorilla/mux"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
)

// Engine is a stand-in for a model engine: the admin API of package engine, the
// OpenAI-compatible paths, and these control paths:
//
//	POST /control/faults   EngineFaults
//	POST /control/restart  empties the memory under a new instance id
//	GET  /control/counters -> EngineCounters
//	GET  /control/runs     -> number of runs of each X-Request-Id
type Engine struct {
	o       EngineOptions
	handler http.Handler
	batch   *batch
	cache   *prefixCache
	orders  sync.WaitGroup

	mu       sync.Mutex
	restarts int
	// instance ends when the engine restarts or is closed.
	instance    context.Context
	endInstance context.CancelFunc
	changed     chan struct{}
	models      map[ident.Model]*engineModel
	tiers       map[ident.Model]engine.Tier
	unloaded    []ident.Model
	fences      map[ident.Model]ident.Fence
	accepted    map[string]bool
	running     map[string]bool
	runs        map[string]int
	faults      EngineFaults
	counters    EngineCounters
}

// NewEngine returns an engine with empty memory. The caller must call Close.
func NewEngine(o EngineOptions) *Engine {
	setEngineDefaults(&o)
	e := &Engine{
		o:       o,
		batch:   newBatch(o.MaxRunning, o.TokensPerSecond, o.LoadReportLag),
		cache:   &prefixCache{capacity: o.CachePrefixes, lag: o.CacheEventLag, dropInterval: o.CacheEventDropInterval},
		changed: make(chan struct{}),
		tiers:   maps.Clone(o.Tiers),
		runs:    make(map[string]int),
	}
	if e.tiers == nil {
		e.tiers = make(map[ident.Model]engine.Tier)
	}
	e.startInstance()
	r := mux.NewRouter()
	r.HandleFunc("/admin/state", e.serveState).Methods(http.MethodGet)
	r.HandleFunc("/admin/orders", e.serveOrder).Methods(http.MethodPost)
	r.HandleFunc("/admin/load", e.serveLoad).Methods(http.MethodGet)
	r.HandleFunc("/admin/cache-events", e.serveCacheEvents).Methods(http.MethodGet)
	r.HandleFunc("/v1/models", e.serveModels).Methods(http.MethodGet)
	r.HandleFunc("/v1/chat/completions", e.serveChat).Methods(http.MethodPost)
	r.HandleFunc("/v1/completions", e.serveCompletion).Methods(http.MethodPost)
	r.HandleFunc("/control/faults", e.serveFaults).Methods(http.MethodPost)
	r.HandleFunc("/control/restart", e.serveRestart).Methods(http.MethodPost)
	r.HandleFunc("/control/counters", e.serveCounters).Methods(http.MethodGet)
	r.HandleFunc("/control/runs", e.serveRuns).Methods(http.MethodGet)
	e.handler = r
	return e
}

func setEngineDefaults(o *EngineOptions) {
	if o.Logger == nil {
		o.Logger = &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	}
	if o.MemoryMB == 0 {
		o.MemoryMB = DefaultEngineMemoryMB
	}
	if o.MemoryModels == 0 {
		o.MemoryModels = DefaultMemoryModels
	}
	if o.HTTP == nil {
		o.HTTP = http.DefaultClient
	}
	if o.MaxRunning == 0 {
		o.MaxRunning = DefaultMaxRunning
	}
	if o.CachePrefixes == 0 {
		o.CachePrefixes = DefaultCachePrefixes
	}
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.handler.ServeHTTP(w, r) }

// Close cancels all orders and requests and waits until the orders have ended.
func (e *Engine) Close() {
	e.mu.Lock()
	e.endInstance()
	e.mu.Unlock()
	e.orders.Wait()
}

// Restart simulates a crash: it empties the memory, cancels the running orders and
// requests, and changes the instance id.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endInstance()
	e.startInstance()
	e.broadcast()
}

// startInstance starts a new instance with empty memory. The caller holds mu,
// except in NewEngine.
func (e *Engine) startInstance() {
	e.restarts++
	e.instance, e.endInstance = context.WithCancel(context.Background())
	e.models = make(map[ident.Model]*engineModel)
	e.fences = make(map[ident.Model]ident.Fence)
	e.accepted = make(map[string]bool)
	e.running = make(map[string]bool)
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	e.broadcast()
}

// State returns the engine's current models, orders, tiers and memory.
func (e *Engine) State() engine.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := engine.State{
		Instance:      fmt.Sprintf("life-%d", e.restarts),
		Models:        []engine.ModelState{},
		RunningOrders: append([]string{}, slices.Sorted(maps.Keys(e.running))...),
		Tiers:         maps.Clone(e.tiers),
		MemoryMB:      e.o.MemoryMB,
		UsedMB:        e.usedMB(),
	}
	for _, name := range slices.Sorted(maps.Keys(e.models)) {
		m := e.models[name]
		s.Models = append(s.Models, engine.ModelState{
			Model:    name,
			Phase:    m.phase,
			Version:  m.version,
			Fence:    e.fences[name],
			MemoryMB: m.usedMB(),
			Adapters: slices.Sorted(maps.Keys(m.adapters)),
		})
	}
	return s
}

// Counters returns the counts since NewEngine.
func (e *Engine) Counters() EngineCounters {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.counters
	c.PeakRunning = e.batch.peakRunning()
	return c
}

// Runs returns the number of runs of each X-Request-Id.
func (e *Engine) Runs() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.runs)
}

// usedMB returns the memory of all models. The caller holds mu.
func (e *Engine) usedMB() int64 {
	var used int64
	for _, m := range e.models {
		used += m.usedMB()
	}
	return used
}

// broadcast wakes all callers of await. The caller holds mu.
func (e *Engine) broadcast() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// await waits until done returns true or ctx ends. It calls done with mu held, and
// again after each broadcast.
func (e *Engine) await(ctx context.Context, done func() bool) error {
	for {
		e.mu.Lock()
		ok, changed := done(), e.changed
		e.mu.Unlock()
		if ok {
			return ctx.Err()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
