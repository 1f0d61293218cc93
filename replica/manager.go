package replica

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/internal/wait"
	"github.com/laureltally/laureltally/memory"
	"github.com/laureltally/laureltally/wire"
)

// Manager drives one engine. Its methods may be called concurrently.
type Manager struct {
	o Options

	mu           sync.Mutex
	machine      *machine
	results      map[uint64]chan error
	pendingOrder *engine.Order
	permits      map[uint64]*heldPermit
	ctx          context.Context
	background   sync.WaitGroup

	signaled chan struct{}
	changed  chan struct{}
}

// New returns a manager. It fails with *OptionsError. The manager is inactive
// until Run is called.
func New(o Options) (*Manager, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	o.setDefaults()
	m := &Manager{
		o:        o,
		results:  make(map[uint64]chan error),
		permits:  make(map[uint64]*heldPermit),
		signaled: make(chan struct{}, 1),
		changed:  make(chan struct{}),
	}
	m.machine = newMachine(o.machineOptions(), o.Now())
	return m, nil
}

func (o *Options) machineOptions() machineOptions {
	return machineOptions{
		incarnation: o.Incarnation,
		spec:        o.Spec,
		policy:      o.Policy,
		memoryMB:    o.MemoryMB,
		settleTime:  o.OrderSettle,
		memoryWait:  o.MemoryWait,
		loadRetry:   o.LoadRetry,
		writeRetry:  o.WriteRetry,
		retryAfter:  o.RetryAfter,
		limitLoads:  o.LoadLimiter != nil,
	}
}

// Run reads the engine state, watches the allocations and submits orders until
// ctx ends, and returns the cause. Requests that still wait then fail with
// *DrainingError. Run must be called only once.
func (m *Manager) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	m.mu.Lock()
	m.ctx = ctx
	m.mu.Unlock()
	group.Go(func() error { return m.watchAllocations(ctx) })
	group.Go(func() error { return m.driveEngine(ctx) })
	err := group.Wait()
	m.event(func(now time.Time) { m.machine.drain(now) })
	m.mu.Lock()
	m.ctx = nil
	m.mu.Unlock()
	m.background.Wait()
	return err
}

// Acquire waits until the required model and adapter are loaded and returns a
// lease on them. Each of its errors means that the request was not run:
// *NoSlotError, *NoMemoryError, *LoadFailedError, *DrainingError,
// *UnknownModelError, *DeadlineError, or the error of ctx.
func (m *Manager) Acquire(ctx context.Context, n Requirements) (*Lease, error) {
	var id uint64
	result := make(chan error, 1)
	m.event(func(now time.Time) {
		id = m.machine.acquire(n, now)
		m.results[id] = result
	})
	err := m.await(ctx, id, n, result)
	if err != nil {
		return nil, err
	}
	return m.lease(n), nil
}

func (m *Manager) await(ctx context.Context, id uint64, n Requirements, result chan error) error {
	var expired <-chan time.Time
	if !n.Deadline.IsZero() {
		t := time.NewTimer(n.Deadline.Sub(m.o.Now()))
		defer t.Stop()
		expired = t.C
	}
	select {
	case err := <-result:
		return err
	case <-expired:
		m.event(func(now time.Time) { m.machine.step(now) })
		return m.withdraw(id, result, &DeadlineError{Model: n.Model, Adapter: n.Adapter, RetryAfter: m.o.RetryAfter})
	case <-ctx.Done():
		return m.withdraw(id, result, context.Cause(ctx))
	}
}

// withdraw cancels a waiter and returns cause. If the waiter was resolved in
// the meantime, withdraw returns that result instead.
func (m *Manager) withdraw(id uint64, result chan error, cause error) error {
	cancelled := false
	m.event(func(now time.Time) {
		if cancelled = m.machine.cancel(id, now); cancelled {
			delete(m.results, id)
		}
	})
	if cancelled {
		return cause
	}
	return <-result
}

func (m *Manager) lease(n Requirements) *Lease {
	k := memory.Key{Model: n.Model, Adapter: n.Adapter}
	return &Lease{
		Model:   n.Model,
		Adapter: n.Adapter,
		release: func() { m.event(func(now time.Time) { m.machine.released(k, now) }) },
	}
}

// Drain rejects further requests, unloads every model once its requests have
// ended and releases the VM's slots. It returns when that is done, or with the
// error of ctx; slots that it could not release are removed together with the
// VM.
func (m *Manager) Drain(ctx context.Context) error {
	m.event(func(now time.Time) { m.machine.drain(now) })
	for {
		m.mu.Lock()
		done, changed := m.machine.drained(), m.changed
		m.mu.Unlock()
		if done {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// Models reports, by name, every model that is loaded, has a usable slot or is
// waited for.
func (m *Manager) Models() []wire.ModelReport {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.report()
}

// Loaded reports whether a model is loaded, as Models reports it.
func (m *Manager) Loaded(name ident.Model) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	st := m.machine.models[name]
	return st != nil && st.loaded()
}

// FreeMB returns the accelerator memory that can still be reserved, in MiB.
func (m *Manager) FreeMB() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.reservations.FreeMB()
}

// event passes one event to the machine and carries out the resulting actions.
func (m *Manager) event(feed func(now time.Time)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	feed(m.o.Now())
	for _, a := range m.machine.takeActions() {
		m.perform(a)
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

// perform carries out an action without blocking. The caller holds the lock.
func (m *Manager) perform(a action) {
	switch a := a.(type) {
	case submitOrder:
		m.pendingOrder = &a.order
		m.signal()
	case resolveWaiter:
		m.resolve(a)
	case slotWrite:
		m.spawn(func(ctx context.Context) { m.writeSlot(ctx, a) })
	case requestPermit:
		m.requestPermit(a)
	case releasePermit:
		m.releasePermit(a.id)
	}
}

func (m *Manager) resolve(a resolveWaiter) {
	m.countResult(a.err)
	result, ok := m.results[a.id]
	if !ok {
		return
	}
	delete(m.results, a.id)
	result <- a.err
}

func (m *Manager) signal() {
	wait.Notify(m.signaled)
}

// spawn runs f in a goroutine beside the loops of Run. Before Run it does
// nothing.
func (m *Manager) spawn(f func(ctx context.Context)) {
	if m.ctx == nil {
		return
	}
	ctx := m.ctx
	m.background.Go(func() { f(ctx) })
}
