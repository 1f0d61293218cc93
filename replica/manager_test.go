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

// testEnv is a running manager of the VM "vm1" with a slot for models a and b.
type testEnv struct {
	t       *testing.T
	store   *memstore.Store
	client  *fakeClient
	manager *Manager
}

// withManager runs f in virtual time with a running manager. setup, if not nil,
// changes the environment and the options before the manager starts.
func withManager(t *testing.T, setup func(*testEnv, *Options), f func(*testEnv)) {
	synctest.Test(t, func(t *testing.T) {
		e := &testEnv{t: t, store: memstore.New(memstore.Options{}), client: newFakeClient()}
		for _, m := range simModels {
			e.setSlots(m, allocation.Slot{VM: "vm1", Fence: 5, State: allocation.Held})
		}
		o := Options{
			Environment: "env", VM: "vm1", Incarnation: 1, Store: e.store, Engine: e.client,
			Spec: simSpec, MemoryMB: simMemoryMB, Policy: simPolicy{},
		}
		if setup != nil {
			setup(e, &o)
		}
		var err error
		if e.manager, err = New(o); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- e.manager.Run(ctx) }()
		defer func() {
			cancel()
			if err := <-done; !errors.Is(err, context.Canceled) {
				t.Errorf("Run ended with %v", err)
			}
		}()
		time.Sleep(DefaultOrderSettle + time.Second/2)
		f(e)
	})
}

func (e *testEnv) setSlots(m ident.Model, slots ...allocation.Slot) {
	o, _ := e.store.Get(e.t.Context(), allocation.Key("env", m))
	value, err := allocation.Allocation{Limit: 1, LastFence: 9, Slots: slots}.Encode()
	if err != nil {
		e.t.Fatal(err)
	}
	if _, err := e.store.Put(e.t.Context(), allocation.Key("env", m), value, o.Version); err != nil {
		e.t.Fatal(err)
	}
}

// hasSlot reports whether the store has a slot of vm1.
func (e *testEnv) hasSlot(m ident.Model) bool {
	o, err := e.store.Get(e.t.Context(), allocation.Key("env", m))
	if err != nil {
		e.t.Fatal(err)
	}
	a, err := allocation.Decode(o.Key, o.Value)
	if err != nil {
		e.t.Fatal(err)
	}
	_, ok := a.Slot("vm1")
	return ok
}

func (e *testEnv) acquire(n Requirements) (*Lease, error) { return e.manager.Acquire(e.t.Context(), n) }

func (e *testEnv) mustAcquire(n Requirements) *Lease {
	e.t.Helper()
	l, err := e.acquire(n)
	if err != nil {
		e.t.Fatal(err)
	}
	return l
}

func TestConcurrentRequestsCauseOneLoad(t *testing.T) {
	withManager(t, nil, func(e *testEnv) {
		const callers = 5
		leases := make(chan *Lease, callers)
		for range callers {
			go func() {
				l, err := e.acquire(Requirements{Model: "a"})
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
		if n := e.client.submitted(engine.OrderLoad); n != 1 {
			t.Errorf("%d loads, want 1", n)
		}
	})
}

func TestModelIsUnloadedWhenIdleButNotUnderLease(t *testing.T) {
	withManager(t, nil, func(e *testEnv) {
		l := e.mustAcquire(Requirements{Model: "a", Adapter: "x"})
		time.Sleep(time.Minute)
		if !e.client.hasModel("a") {
			t.Error("unloaded under a lease")
		}
		l.Release()
		time.Sleep(time.Minute)
		if e.client.hasModel("a") {
			t.Error("idle model is still loaded")
		}
		if free := e.manager.FreeMB(); free != simMemoryMB {
			t.Errorf("%d MiB free, want all", free)
		}
	})
}

func TestColdStartWorksWhilePlatformIsUnavailable(t *testing.T) {
	withManager(t, nil, func(e *testEnv) {
		e.store.SetFaults(memstore.Faults{Outage: true})
		time.Sleep(time.Hour)
		e.mustAcquire(Requirements{Model: "a"}).Release()
	})
}

func TestNoModelIsLoadedBeforeAllocationsAreRead(t *testing.T) {
	unavailable := func(e *testEnv, _ *Options) {
		e.store.SetFaults(memstore.Faults{Outage: true})
		e.client.engine.models["a"] = &engine.ModelState{Model: "a", Phase: engine.PhaseLoaded, MemoryMB: simModelMB}
	}
	withManager(t, unavailable, func(e *testEnv) {
		e.mustAcquire(Requirements{Model: "a"}).Release()
		var noSlot *NoSlotError
		if _, err := e.acquire(Requirements{Model: "b"}); !errors.As(err, &noSlot) {
			t.Errorf("got %v, want *NoSlotError", err)
		}
		e.store.SetFaults(memstore.Faults{})
		time.Sleep(5 * time.Minute)
		e.mustAcquire(Requirements{Model: "b"}).Release()
	})
}

func TestRevokedSlotIsReleasedDespiteLostAndLateWrites(t *testing.T) {
	withManager(t, nil, func(e *testEnv) {
		l := e.mustAcquire(Requirements{Model: "a"})
		e.setSlots("a", allocation.Slot{VM: "vm1", Fence: 5, State: allocation.Revoking})
		e.store.SetFaults(memstore.Faults{LateWrites: 1, LateBy: time.Minute, DropResponses: 1})
		time.Sleep(time.Minute)
		if !e.hasSlot("a") || !e.client.hasModel("a") {
			t.Error("slot released under a lease")
		}
		l.Release()
		time.Sleep(5 * time.Minute)
		if e.hasSlot("a") || e.client.hasModel("a") {
			t.Error("slot not released or replica not unloaded")
		}
	})
}

func TestDrainWaitsForRequestsAndReleasesSlots(t *testing.T) {
	withManager(t, nil, func(e *testEnv) {
		l := e.mustAcquire(Requirements{Model: "a"})
		drained := make(chan error, 1)
		go func() { drained <- e.manager.Drain(e.t.Context()) }()
		time.Sleep(time.Minute)
		var draining *DrainingError
		if _, err := e.acquire(Requirements{Model: "a"}); !errors.As(err, &draining) {
			t.Errorf("got %v, want *DrainingError", err)
		}
		if len(drained) != 0 || !e.client.hasModel("a") {
			t.Error("drained under a lease")
		}
		l.Release()
		if err := <-drained; err != nil {
			t.Error(err)
		}
		if e.hasSlot("a") || e.hasSlot("b") || e.client.hasModel("a") {
			t.Error("slot or replica remains after drain")
		}
	})
}

func TestLostOrderResponseCausesOneLoad(t *testing.T) {
	withManager(t, nil, func(e *testEnv) {
		e.client.loseResponses = 1
		e.mustAcquire(Requirements{Model: "a"}).Release()
		if n := e.client.submitted(engine.OrderLoad); n != 1 {
			t.Errorf("%d loads, want 1", n)
		}
	})
}

func TestRejectionsAreTyped(t *testing.T) {
	withManager(t, nil, func(e *testEnv) {
		soon := time.Now().Add(100 * time.Millisecond)
		var deadline *DeadlineError
		if _, err := e.acquire(Requirements{Model: "a", Deadline: soon}); !errors.As(err, &deadline) {
			t.Errorf("got %v, want *DeadlineError", err)
		}
		if time.Now().After(soon) {
			t.Error("rejected after the deadline")
		}
		l := e.mustAcquire(Requirements{Model: "a"})
		var noMemory *NoMemoryError
		if _, err := e.acquire(Requirements{Model: "b"}); !errors.As(err, &noMemory) || noMemory.RetryAfter == 0 {
			t.Errorf("got %v, want *NoMemoryError", err)
		}
		var unknown *UnknownModelError
		if _, err := e.acquire(Requirements{Model: "a", Adapter: "none"}); !errors.As(err, &unknown) {
			t.Errorf("got %v, want *UnknownModelError", err)
		}
		l.Release()
		e.client.rejectWith = &engine.Problem{Code: engine.ProblemMemory}
		var failed *LoadFailedError
		if _, err := e.acquire(Requirements{Model: "b"}); !errors.As(err, &failed) {
			t.Errorf("got %v, want *LoadFailedError", err)
		}
	})
}

func TestUrgentLoadIsSubmittedFirst(t *testing.T) {
	withManager(t, func(_ *testEnv, o *Options) { o.MemoryMB = 2 * simMemoryMB }, func(e *testEnv) {
		var wg sync.WaitGroup
		for _, n := range []Requirements{{Model: "a"}, {Model: "a", Adapter: "x", Priority: 2}, {Model: "b", Priority: 1}} {
			wg.Go(func() { e.mustAcquire(n).Release() })
			synctest.Wait()
		}
		wg.Wait()
		if o := e.client.orders; len(o) != 3 || o[1].Model != "b" || o[2].Adapter != "x" {
			t.Errorf("orders %+v, want a, b, adapter x", o)
		}
	})
}

// failingLimiter never issues a permit.
type failingLimiter struct{}

func (failingLimiter) Acquire(context.Context, ident.Model, ident.Adapter, ident.Priority) (func(), error) {
	return nil, &DrainingError{}
}

// countingLimiter counts the acquired and released permits.
type countingLimiter struct{ acquired, released int }

func (l *countingLimiter) Acquire(context.Context, ident.Model, ident.Adapter, ident.Priority) (func(), error) {
	l.acquired++
	return func() { l.released++ }, nil
}

func TestLoadProceedsWithoutPermitAndPermitsAreReleased(t *testing.T) {
	withManager(t, func(_ *testEnv, o *Options) { o.LoadLimiter = failingLimiter{} }, func(e *testEnv) {
		e.mustAcquire(Requirements{Model: "a"}).Release()
	})
	limiter := &countingLimiter{}
	withManager(t, func(_ *testEnv, o *Options) { o.LoadLimiter = limiter }, func(e *testEnv) {
		e.mustAcquire(Requirements{Model: "a", Adapter: "x"}).Release()
		synctest.Wait()
		if limiter.acquired != 2 || limiter.released != 2 {
			t.Errorf("%d permits acquired, %d released, want 2 and 2", limiter.acquired, limiter.released)
		}
	})
}

func TestOptionsAreValidated(t *testing.T) {
	var invalid *OptionsError
	if _, err := New(Options{}); !errors.As(err, &invalid) {
		t.Errorf("got %v, want *OptionsError", err)
	}
}
