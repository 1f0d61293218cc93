package standin

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/internal/wait"
)

// Submit accepts an order, which then runs independently of the caller, or returns
// why it is rejected. An order that was accepted before is not run again.
func (e *Engine) Submit(o engine.Order) *engine.Problem {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p := e.check(o); p != nil {
		return p
	}
	if e.accepted[o.ID] {
		return nil
	}
	noop := e.alreadyDone(o)
	if p := e.reserve(o); p != nil {
		return p
	}
	e.fences[o.Model] = max(e.fences[o.Model], o.Fence)
	e.accepted[o.ID] = true
	e.running[o.ID] = true
	instance := e.instance
	e.orders.Go(func() { e.run(instance, o, noop) })
	return nil
}

// check rejects orders that can't run in any state of the memory, and those with a
// stale fencing token. The caller holds mu.
func (e *Engine) check(o engine.Order) *engine.Problem {
	kinds := []engine.OrderKind{engine.OrderLoad, engine.OrderUnload, engine.OrderLoadAdapter, engine.OrderUnloadAdapter}
	switch {
	case o.ID == "" || o.Model == "" || o.MemoryMB < 0 || !slices.Contains(kinds, o.Kind):
		return &engine.Problem{Code: engine.ProblemMalformed, Detail: "id, model or kind"}
	case len(e.o.Models) > 0 && !slices.Contains(e.o.Models, o.Model):
		return &engine.Problem{Code: engine.ProblemUnknownModel, Detail: string(o.Model)}
	case e.o.ChecksFences && o.Fence < e.fences[o.Model]:
		e.counters.StaleFences++
		return &engine.Problem{Code: engine.ProblemStaleFence, Detail: fmt.Sprintf("%d is below %d", o.Fence, e.fences[o.Model])}
	}
	return nil
}

// alreadyDone reports whether the engine already is in the state that the order
// asks for. It returns false for adapter orders. The caller holds mu.
func (e *Engine) alreadyDone(o engine.Order) bool {
	m := e.models[o.Model]
	switch o.Kind {
	case engine.OrderLoad:
		return m != nil && m.phase == engine.PhaseLoaded && m.version == o.Version
	case engine.OrderUnload:
		return m == nil
	default:
		return false
	}
}

// reserve reserves the memory and sets the phase for an order, or returns why it is
// rejected. The caller holds mu.
func (e *Engine) reserve(o engine.Order) *engine.Problem {
	m := e.models[o.Model]
	if m != nil && m.phase != engine.PhaseLoaded {
		return &engine.Problem{Code: engine.ProblemBusy, Detail: string(m.phase)}
	}
	switch o.Kind {
	case engine.OrderLoad:
		return e.reserveLoad(o, m)
	case engine.OrderUnload:
		if m != nil {
			m.phase = engine.PhaseUnloading
		}
	case engine.OrderLoadAdapter:
		if m == nil {
			return &engine.Problem{Code: engine.ProblemUnknownModel, Detail: "model is not loaded"}
		}
		return e.reserveMemory(o.MemoryMB)
	}
	return nil
}

func (e *Engine) reserveLoad(o engine.Order, m *engineModel) *engine.Problem {
	if m != nil && m.version == o.Version {
		return nil
	}
	if m != nil {
		return &engine.Problem{Code: engine.ProblemBusy, Detail: "another version is loaded"}
	}
	if p := e.reserveMemory(o.MemoryMB); p != nil {
		return p
	}
	e.models[o.Model] = &engineModel{
		phase:    engine.PhaseLoading,
		version:  o.Version,
		memoryMB: o.MemoryMB,
		adapters: make(map[ident.Adapter]int64),
	}
	return nil
}

// reserveMemory counts mb MiB that are about to be used, and rejects them if they
// don't fit and RefuseOvercommit is set. The caller holds mu.
func (e *Engine) reserveMemory(mb int64) *engine.Problem {
	used := e.usedMB() + mb
	if used > e.o.MemoryMB {
		e.counters.Overcommits++
		e.o.Logger.WithField("used_mb", used).Warn("memory overcommitted")
		if e.o.RefuseOvercommit {
			return &engine.Problem{Code: engine.ProblemMemory, Detail: fmt.Sprintf("%d of %d MiB", used, e.o.MemoryMB)}
		}
	}
	e.counters.PeakMB = max(e.counters.PeakMB, used)
	return nil
}

// run executes an accepted order, or only ends it if there is nothing to do.
func (e *Engine) run(instance context.Context, o engine.Order, noop bool) {
	if err := e.await(instance, func() bool { return !e.faults.HangOrders }); err != nil {
		return
	}
	var err error
	if !noop {
		err = e.execute(instance, o)
	}
	e.o.Logger.WithError(err).WithField("order", o).Debug("order ended")
	e.mu.Lock()
	defer e.mu.Unlock()
	if instance.Err() == nil {
		delete(e.running, o.ID)
		e.broadcast()
	}
}

func (e *Engine) execute(instance context.Context, o engine.Order) error {
	switch o.Kind {
	case engine.OrderLoad:
		return e.load(instance, o)
	case engine.OrderUnload:
		return e.unload(instance, o)
	case engine.OrderLoadAdapter:
		return e.loadAdapter(instance, o)
	default:
		return e.unloadAdapter(instance, o)
	}
}

func (e *Engine) load(instance context.Context, o engine.Order) error {
	e.mu.Lock()
	tier := e.tierOf(o.Model)
	slowdown := max(e.faults.LoadSlowdown, 1)
	fail := e.faults.FailLoads > 0
	if fail {
		e.faults.FailLoads--
	}
	e.mu.Unlock()
	err := wait.Sleep(instance, time.Duration(float64(e.o.LoadTimes[tier])*slowdown))
	if err == nil && tier == engine.TierRemote {
		query := url.Values{"mb": {strconv.FormatInt(o.MemoryMB, 10)}}
		err = e.readWeightStore(instance, "/weights/"+string(o.Model), query)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if instance.Err() != nil {
		return instance.Err()
	}
	if fail || err != nil {
		delete(e.models, o.Model)
		return err
	}
	e.models[o.Model].phase = engine.PhaseLoaded
	e.counters.Loads++
	return nil
}

// tierOf returns the tier that has the weights of a model. The caller holds mu.
func (e *Engine) tierOf(m ident.Model) engine.Tier {
	if t, ok := e.tiers[m]; ok {
		return t
	}
	return engine.TierRemote
}

// unload waits until the model's requests have ended and frees its memory.
func (e *Engine) unload(instance context.Context, o engine.Order) error {
	idle := func() bool {
		m := e.models[o.Model]
		return m == nil || m.running == 0
	}
	if err := e.await(instance, idle); err != nil {
		return err
	}
	if err := wait.Sleep(instance, e.o.UnloadTime); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if instance.Err() != nil {
		return instance.Err()
	}
	delete(e.models, o.Model)
	e.counters.Unloads++
	e.cacheInHostMemory(o.Model)
	return nil
}

// cacheInHostMemory makes a model the most recent one in host memory, and moves the
// oldest to disk if there are too many. The caller holds mu.
func (e *Engine) cacheInHostMemory(m ident.Model) {
	e.tiers[m] = engine.TierMemory
	e.unloaded = slices.DeleteFunc(e.unloaded, func(o ident.Model) bool { return o == m })
	e.unloaded = append(e.unloaded, m)
	if len(e.unloaded) > e.o.MemoryModels {
		e.tiers[e.unloaded[0]] = engine.TierDisk
		e.unloaded = e.unloaded[1:]
	}
}

func (e *Engine) loadAdapter(instance context.Context, o engine.Order) error {
	query := url.Values{"ms": {strconv.FormatInt(e.o.AdapterLoadTime.Milliseconds(), 10)}}
	err := wait.Sleep(instance, e.o.AdapterLoadTime)
	if e.o.WeightStore != "" {
		err = e.readWeightStore(instance, "/adapters/"+string(o.Adapter), query)
	}
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if m := e.models[o.Model]; m != nil && instance.Err() == nil {
		m.adapters[o.Adapter] = o.MemoryMB
	}
	return instance.Err()
}

func (e *Engine) unloadAdapter(instance context.Context, o engine.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if m := e.models[o.Model]; m != nil && instance.Err() == nil {
		delete(m.adapters, o.Adapter)
	}
	return instance.Err()
}

// readWeightStore reads from the weight store, which responds when the load is done.
// It does nothing if the engine has no weight store.
func (e *Engine) readWeightStore(ctx context.Context, path string, query url.Values) error {
	if e.o.WeightStore == "" {
		return nil
	}
	target := e.o.WeightStore + (&url.URL{Path: path, RawQuery: query.Encode()}).String()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return fmt.Errorf("weight store: %w", err)
	}
	resp, err := e.o.HTTP.Do(req)
	if err != nil {
		return fmt.Errorf("weight store: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &StatusError{Path: path, Status: resp.StatusCode}
	}
	return nil
}
