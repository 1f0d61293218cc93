package replica

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/memory"
	"github.com/laureltally/laureltally/wire"
)

// Manager drives one engine. Its methods may be called concurrently.
type Manager struct {
	o Options

	mu      sync.Mutex
	machine *machine
	results map[uint64]chan error
	submit  *engine.Order
	places  map[uint64]*gatePlace
	ctx     context.Context
	running sync.WaitGroup

	wake    chan struct{}
	changed chan struct{}
}

// New returns a manager, or *OptionsError. It does nothing before Run.
func New(o Options) (*Manager, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	o.setDefaults()
	m := &Manager{
		o:       o,
		results: make(map[uint64]chan error),
		places:  make(map[uint64]*gatePlace),
		wake:    make(chan struct{}, 1),
		changed: make(chan struct{}),
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
		settle:      o.OrderSettle,
		memoryWait:  o.MemoryWait,
		loadRetry:   o.LoadRetry,
		writeRetry:  o.WriteRetry,
		retryAfter:  o.RetryAfter,
		gated:       o.LoadLimiter != nil,
	}
}

// Run reads the engine, watches the grants and submits orders until ctx ends,
// and returns the cause. Needs that still wait then are refused with
// *DrainingError. Run is called once.
func (m *Manager) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	m.mu.Lock()
	m.ctx = ctx
	m.mu.Unlock()
	group.Go(func() error { return m.watchGrants(ctx) })
	group.Go(func() error { return m.driveEngine(ctx) })
	err := group.Wait()
	m.event(func(now time.Time) { m.machine.drain(now) })
	m.mu.Lock()
	m.ctx = nil
	m.mu.Unlock()
	m.running.Wait()
	return err
}

// Acquire waits until the need is loaded and returns a lease on it. Each of its
// errors means that nothing has run: *NoRightError, *NoMemoryError,
// *LoadFailedError, *DrainingError, *UnknownModelError, *DeadlineError, or the
// error of ctx.
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

// withdraw cancels a need. If it was granted in the meantime, the lease stands.
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

// Drain takes no more needs, unloads every model once its requests have ended
// and frees the VM's slots. It returns when that is done or with the error of
// ctx; slots that it could not free end with the VM.
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

// Models reports every model that is loaded, may be loaded or is waited for, by
// name.
func (m *Manager) Models() []wire.ModelReport {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.report()
}

// Loaded tells whether a model is loaded, as Models reports it.
func (m *Manager) Loaded(name ident.Model) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	st := m.machine.models[name]
	return st != nil && st.loaded()
}

// FreeMB returns the accelerator memory that could still be reserved, in MiB.
func (m *Manager) FreeMB() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.ledger.FreeMB()
}

// event feeds one event to the machine and carries out its actions.
func (m *Manager) event(feed func(now time.Time)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	feed(m.o.Now())
	for _, a := range m.machine.take() {
		m.perform(a)
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

// perform carries out an action under the lock, without blocking.
func (m *Manager) perform(a action) {
	switch a := a.(type) {
	case submitOrder:
		m.submit = &a.order
		m.poke()
	case resolveWaiter:
		m.resolve(a)
	case writeGrant:
		m.spawn(func(ctx context.Context) { m.writeSlot(ctx, a) })
	case openGate:
		m.openGate(a)
	case closeGate:
		m.closeGate(a.id)
	}
}

func (m *Manager) resolve(a resolveWaiter) {
	m.count(a.err)
	result, ok := m.results[a.id]
	if !ok {
		return
	}
	delete(m.results, a.id)
	result <- a.err
}

func (m *Manager) poke() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// spawn runs f beside the loops of Run; before Run nothing is to be done.
func (m *Manager) spawn(f func(ctx context.Context)) {
	if m.ctx == nil {
		return
	}
	ctx := m.ctx
	m.running.Go(func() { f(ctx) })
}
