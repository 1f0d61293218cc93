package replica

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/laureltally/laureltally/allocation"
	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore/memstore"
)

// bench is a running manager of the VM "vm1" with a slot for models a and b.
type bench struct {
	t       *testing.T
	store   *memstore.Store
	client  *fakeClient
	manager *Manager
}

// withManager runs f on virtual time beside a manager. Before, if not nil,
// changes what the manager starts with.
func withManager(t *testing.T, before func(*bench, *Options), f func(*bench)) {
	synctest.Test(t, func(t *testing.T) {
		b := &bench{t: t, store: memstore.New(memstore.Options{}), client: newFakeClient()}
		for _, m := range simModels {
			b.setSlots(m, allocation.Slot{VM: "vm1", Fence: 5, State: allocation.Held})
		}
		o := Options{
			Environment: "env", VM: "vm1", Incarnation: 1, Store: b.store, Engine: b.client,
			Spec: simSpec, MemoryMB: simMemoryMB, Policy: simPolicy{},
		}
		if before != nil {
			before(b, &o)
		}
		var err error
		if b.manager, err = New(o); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- b.manager.Run(ctx) }()
		defer func() {
			cancel()
			if err := <-done; !errors.Is(err, context.Canceled) {
				t.Errorf("Run ended with %v", err)
			}
		}()
		time.Sleep(DefaultOrderSettle + time.Second/2)
		f(b)
	})
}

func (b *bench) setSlots(m ident.Model, slots ...allocation.Slot) {
	o, _ := b.store.Get(b.t.Context(), allocation.Key("env", m))
	value, err := allocation.Allocation{Limit: 1, LastFence: 9, Slots: slots}.Encode()
	if err != nil {
		b.t.Fatal(err)
	}
	if _, err := b.store.Put(b.t.Context(), allocation.Key("env", m), value, o.Version); err != nil {
		b.t.Fatal(err)
	}
}

// hasSlot tells whether the store shows a slot of vm1.
func (b *bench) hasSlot(m ident.Model) bool {
	o, err := b.store.Get(b.t.Context(), allocation.Key("env", m))
	if err != nil {
		b.t.Fatal(err)
	}
	g, err := allocation.Decode(o.Key, o.Value)
	if err != nil {
		b.t.Fatal(err)
	}
	_, ok := g.Slot("vm1")
	return ok
}

func (b *bench) acquire(n Requirements) (*Lease, error) { return b.manager.Acquire(b.t.Context(), n) }

func (b *bench) mustAcquire(n Requirements) *Lease {
	b.t.Helper()
	l, err := b.acquire(n)
	if err != nil {
		b.t.Fatal(err)
	}
	return l
}

func TestConcurrentNeedsCauseOneLoad(t *testing.T) {
	withManager(t, nil, func(b *bench) {
		const callers = 5
		leases := make(chan *Lease, callers)
		for range callers {
			go func() {
				l, err := b.acquire(Requirements{Model: "a"})
				if err != nil {
					t.Error(err)
				}
				leases <- l
			}()
		}
		for range callers {
			if l := <-leases; l != nil {
				defer l.Release()
			}
		}
		if n := b.client.submitted(engine.OrderLoad); n != 1 {
			t.Errorf("%d loads, want 1", n)
		}
	})
}

func TestIdleModelIsUnloadedAndNeverUnderALease(t *testing.T) {
	withManager(t, nil, func(b *bench) {
		l := b.mustAcquire(Requirements{Model: "a", Adapter: "x"})
		time.Sleep(time.Minute)
		if !b.client.has("a") {
			t.Error("unloaded under a lease")
		}
		l.Release()
		time.Sleep(time.Minute)
		if b.client.has("a") {
			t.Error("idle model is still loaded")
		}
		if free := b.manager.FreeMB(); free != simMemoryMB {
			t.Errorf("%d MiB free, want all", free)
		}
	})
}

func TestColdStartWorksWhileThePlatformIsAway(t *testing.T) {
	withManager(t, nil, func(b *bench) {
		b.store.SetFaults(memstore.Faults{Outage: true})
		time.Sleep(time.Hour)
		b.mustAcquire(Requirements{Model: "a"}).Release()
	})
}

func TestNothingNewIsLoadedBeforeTheGrantsAreRead(t *testing.T) {
	away := func(b *bench, _ *Options) {
		b.store.SetFaults(memstore.Faults{Outage: true})
		b.client.engine.models["a"] = &engine.ModelState{Model: "a", Phase: engine.PhaseLoaded, MemoryMB: simModelMB}
	}
	withManager(t, away, func(b *bench) {
		b.mustAcquire(Requirements{Model: "a"}).Release()
		var refused *NoSlotError
		if _, err := b.acquire(Requirements{Model: "b"}); !errors.As(err, &refused) {
			t.Errorf("got %v, want NoRightError", err)
		}
		b.store.SetFaults(memstore.Faults{})
		time.Sleep(5 * time.Minute)
		b.mustAcquire(Requirements{Model: "b"}).Release()
	})
}

func TestRevokedSlotIsFreedThroughLostAndLateWrites(t *testing.T) {
	withManager(t, nil, func(b *bench) {
		l := b.mustAcquire(Requirements{Model: "a"})
		b.setSlots("a", allocation.Slot{VM: "vm1", Fence: 5, State: allocation.Revoking})
		b.store.SetFaults(memstore.Faults{LateWrites: 1, LateBy: time.Minute, LoseAnswers: 1})
		time.Sleep(time.Minute)
		if !b.hasSlot("a") || !b.client.has("a") {
			t.Error("slot freed under a lease")
		}
		l.Release()
		time.Sleep(5 * time.Minute)
		if b.hasSlot("a") || b.client.has("a") {
			t.Error("slot or replica is left")
		}
	})
}

func TestDrainWaitsForRequestsAndFreesSlots(t *testing.T) {
	withManager(t, nil, func(b *bench) {
		l := b.mustAcquire(Requirements{Model: "a"})
		drained := make(chan error, 1)
		go func() { drained <- b.manager.Drain(b.t.Context()) }()
		time.Sleep(time.Minute)
		var draining *DrainingError
		if _, err := b.acquire(Requirements{Model: "a"}); !errors.As(err, &draining) {
			t.Errorf("got %v, want DrainingError", err)
		}
		if len(drained) != 0 || !b.client.has("a") {
			t.Error("drained under a lease")
		}
		l.Release()
		if err := <-drained; err != nil {
			t.Error(err)
		}
		if b.hasSlot("a") || b.hasSlot("b") || b.client.has("a") {
			t.Error("drained agent keeps a slot or a replica")
		}
	})
}

func TestLostAnswerOfAnOrderLoadsOnce(t *testing.T) {
	withManager(t, nil, func(b *bench) {
		b.client.loseAnswers = 1
		b.mustAcquire(Requirements{Model: "a"}).Release()
		if n := b.client.submitted(engine.OrderLoad); n != 1 {
			t.Errorf("%d loads, want 1", n)
		}
	})
}

func TestRefusalsAreTyped(t *testing.T) {
	withManager(t, nil, func(b *bench) {
		soon := time.Now().Add(100 * time.Millisecond)
		var deadline *DeadlineError
		if _, err := b.acquire(Requirements{Model: "a", Deadline: soon}); !errors.As(err, &deadline) {
			t.Errorf("got %v, want DeadlineError", err)
		}
		if time.Now().After(soon) {
			t.Error("refused after the deadline")
		}
		l := b.mustAcquire(Requirements{Model: "a"})
		var memory *NoMemoryError
		if _, err := b.acquire(Requirements{Model: "b"}); !errors.As(err, &memory) || memory.RetryAfter == 0 {
			t.Errorf("got %v, want NoMemoryError", err)
		}
		var unknown *UnknownModelError
		if _, err := b.acquire(Requirements{Model: "a", Adapter: "none"}); !errors.As(err, &unknown) {
			t.Errorf("got %v, want UnknownModelError", err)
		}
		l.Release()
		b.client.refuse = &engine.Problem{Code: engine.ProblemMemory}
		var failed *LoadFailedError
		if _, err := b.acquire(Requirements{Model: "b"}); !errors.As(err, &failed) {
			t.Errorf("got %v, want LoadFailedError", err)
		}
	})
}

func TestUrgentLoadGoesFirst(t *testing.T) {
	withManager(t, func(_ *bench, o *Options) { o.MemoryMB = 2 * simMemoryMB }, func(b *bench) {
		var wg sync.WaitGroup
		for _, n := range []Requirements{{Model: "a"}, {Model: "a", Adapter: "x", Priority: 2}, {Model: "b", Priority: 1}} {
			wg.Go(func() { b.mustAcquire(n).Release() })
			synctest.Wait()
		}
		wg.Wait()
		if o := b.client.orders; len(o) != 3 || o[1].Model != "b" || o[2].Adapter != "x" {
			t.Errorf("orders %+v, want a, b, adapter x", o)
		}
	})
}

// brokenGate never gives a place.
type brokenGate struct{}

func (brokenGate) Acquire(context.Context, ident.Model, ident.Adapter, ident.Priority) (func(), error) {
	return nil, &DrainingError{}
}

// countingGate counts the places in use.
type countingGate struct{ opened, closed int }

func (g *countingGate) Acquire(context.Context, ident.Model, ident.Adapter, ident.Priority) (func(), error) {
	g.opened++
	return func() { g.closed++ }, nil
}

func TestGateIsSoftAndItsPlacesAreGivenBack(t *testing.T) {
	withManager(t, func(_ *bench, o *Options) { o.LoadLimiter = brokenGate{} }, func(b *bench) {
		b.mustAcquire(Requirements{Model: "a"}).Release()
	})
	gate := &countingGate{}
	withManager(t, func(_ *bench, o *Options) { o.LoadLimiter = gate }, func(b *bench) {
		b.mustAcquire(Requirements{Model: "a", Adapter: "x"}).Release()
		synctest.Wait()
		if gate.opened != 2 || gate.closed != 2 {
			t.Errorf("%d places taken, %d given back, want 2 and 2", gate.opened, gate.closed)
		}
	})
}

func TestOptionsAreChecked(t *testing.T) {
	var wrong *OptionsError
	if _, err := New(Options{}); !errors.As(err, &wrong) {
		t.Errorf("got %v, want OptionsError", err)
	}
}
