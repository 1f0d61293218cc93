package loadlimit

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/ident"
)

var (
	t0    = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)
	store = config.WeightStore{LoadsPerSecond: 5, ParallelLoads: 4, ParallelAdapters: 32}
)

func newGate(t testing.TB) *Limiter {
	t.Helper()
	g, err := New(Config{Store: store})
	if err != nil {
		t.Fatal(err)
	}
	return g
}

// ask enters a request and returns the tickets granted by it.
func ask(t testing.TB, g *Limiter, r Request, now time.Time) []PermitID {
	t.Helper()
	ds, err := g.Enqueue(r, now)
	if err != nil {
		t.Fatal(err)
	}
	return granted(ds)
}

func granted(ds []Decision) []PermitID {
	var ids []PermitID
	for _, d := range ds {
		if d.Verdict == Granted {
			ids = append(ids, d.ID)
		}
	}
	return ids
}

func TestNewRefusesBadConfig(t *testing.T) {
	bad := []Config{
		{},
		{Store: config.WeightStore{LoadsPerSecond: 5, ParallelLoads: 4}},
		{Store: store, ExpiryFactor: 0.5},
		{Store: store, MaxQueue: -1},
	}
	for _, cfg := range bad {
		_, err := New(cfg)
		var ce *ConfigError
		if !errors.As(err, &ce) {
			t.Errorf("New(%+v) = %v, want a *ConfigError", cfg, err)
		}
	}
}

func TestOrderIsPriorityThenDeadline(t *testing.T) {
	g := newGate(t)
	ask(t, g, Request{ID: 1}, t0)
	waiting := []Request{
		{ID: 2, Priority: 1, Deadline: t0.Add(time.Minute)},
		{ID: 3, Priority: 0},
		{ID: 4, Priority: 0, Deadline: t0.Add(time.Hour)},
		{ID: 5, Priority: 0, Deadline: t0.Add(time.Minute)},
	}
	for _, r := range waiting {
		ask(t, g, r, t0)
	}
	now, want := t0, []PermitID{5, 4, 3, 2}
	for _, id := range want {
		now = now.Add(time.Second)
		got := granted(g.Tick(now))
		if len(got) != 1 || got[0] != id {
			t.Fatalf("granted %v, want %d", got, id)
		}
		g.Complete(id, now)
	}
}

func TestLostHolderExpires(t *testing.T) {
	g := newGate(t)
	now := t0
	for id := range PermitID(5) {
		ask(t, g, Request{ID: id}, now)
		now = now.Add(time.Second)
	}
	if g.Held(ModelLoad) != 4 || g.Waiting() != 1 {
		t.Fatalf("%d held, %d waiting", g.Held(ModelLoad), g.Waiting())
	}
	next, ok := g.NextTick()
	if !ok {
		t.Fatal("nothing is due although a holder may be lost")
	}
	if got := granted(g.Tick(next)); len(got) != 1 || got[0] != 4 {
		t.Errorf("granted %v at the expiry of the first holder, want 4", got)
	}
}

func TestHeardHolderKeepsItsPlace(t *testing.T) {
	g := newGate(t)
	ask(t, g, Request{ID: 1}, t0)
	due, _ := g.NextTick()
	g.Heartbeat(1, due.Add(-time.Millisecond))
	if ds := g.Tick(due); len(ds) != 0 {
		t.Errorf("decisions %v on a live holder", ds)
	}
}

func TestExpiryGrowsWithSlowStore(t *testing.T) {
	g := newGate(t)
	now := t0
	for id := range PermitID(30) {
		ask(t, g, Request{ID: id}, now)
		now = now.Add(10 * DefaultExpectedLoad)
		g.Heartbeat(id, now)
		g.Complete(id, now)
	}
	ask(t, g, Request{ID: 99}, now)
	if ds := g.Tick(now.Add(10 * DefaultExpectedLoad)); len(ds) != 0 {
		t.Errorf("decisions %v on a load that takes what loads now take", ds)
	}
}

func TestTooLateIsToldAndForgotten(t *testing.T) {
	g := newGate(t)
	ask(t, g, Request{ID: 1}, t0)
	ask(t, g, Request{ID: 2, Deadline: t0.Add(time.Millisecond)}, t0)
	ds := g.Tick(t0.Add(time.Millisecond))
	if len(ds) != 1 || ds[0] != (Decision{ID: 2, Verdict: TooLate}) {
		t.Errorf("decisions = %v", ds)
	}
	if g.Waiting() != 0 {
		t.Errorf("%d requests wait", g.Waiting())
	}
}

func TestAdaptersHaveTheirOwnPlaces(t *testing.T) {
	g := newGate(t)
	n := 0
	for id := range PermitID(40) {
		n += len(ask(t, g, Request{ID: id, Class: AdapterLoad}, t0))
	}
	if n != store.ParallelAdapters {
		t.Errorf("%d adapter loads at once, want %d", n, store.ParallelAdapters)
	}
	if got := ask(t, g, Request{ID: 100}, t0); len(got) != 1 {
		t.Error("a model load waits behind adapters")
	}
}

func TestRefusals(t *testing.T) {
	g, err := New(Config{Store: store, MaxQueue: 1})
	if err != nil {
		t.Fatal(err)
	}
	ask(t, g, Request{ID: 1}, t0)
	_, err = g.Enqueue(Request{ID: 1}, t0)
	var dup *DuplicateError
	if !errors.As(err, &dup) {
		t.Errorf("second request of a ticket: %v", err)
	}
	ask(t, g, Request{ID: 2}, t0)
	_, err = g.Enqueue(Request{ID: 3}, t0)
	var full *FullError
	if !errors.As(err, &full) || full.Waiting != 1 {
		t.Errorf("request at a full queue: %v", err)
	}
}

func TestWaitGrowsWithTheQueueAhead(t *testing.T) {
	g := newGate(t)
	for id := range PermitID(20) {
		ask(t, g, Request{ID: id, Priority: 1}, t0)
	}
	urgent := g.Wait(Request{ID: 100, Priority: 0}, t0)
	last := g.Wait(Request{ID: 100, Priority: 2}, t0)
	if urgent >= last {
		t.Errorf("most urgent waits %v, least urgent %v", urgent, last)
	}
}

// TestPlacesAndRate draws any order of events and checks the limits of the
// store, and that each request is granted at most once and decided in the end.
func TestPlacesAndRate(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g, err := New(Config{Store: store})
		if err != nil {
			rt.Fatal(err)
		}
		now, next := t0, PermitID(0)
		decided := map[PermitID]int{}
		open := map[PermitID]bool{}
		var starts []time.Time
		note := func(ds []Decision) {
			for _, d := range ds {
				if d.Verdict == Granted {
					decided[d.ID]++
					starts = append(starts, now)
				} else {
					delete(open, d.ID)
				}
			}
		}
		for range rapid.IntRange(1, 150).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(rt, "ms")) * time.Millisecond)
			id := PermitID(rapid.Uint64Range(0, uint64(next)).Draw(rt, "id"))
			switch rapid.IntRange(0, 4).Draw(rt, "event") {
			case 0, 1:
				ds, err := g.Enqueue(Request{ID: next, Priority: ident.Priority(rapid.IntRange(0, 2).Draw(rt, "priority")), Deadline: now.Add(time.Minute)}, now)
				if err != nil {
					rt.Fatal(err)
				}
				open[next] = true
				next++
				note(ds)
			case 2:
				note(g.Complete(id, now))
				delete(open, id)
			case 3:
				note(g.Cancel(id, now))
				delete(open, id)
			case 4:
				note(g.Tick(now))
			}
			if g.Held(ModelLoad) > store.ParallelLoads {
				rt.Fatalf("%d places taken", g.Held(ModelLoad))
			}
			if got := g.Held(ModelLoad) + g.Waiting(); got != len(open) {
				rt.Fatalf("%d requests held or waiting, want %d", got, len(open))
			}
		}
		for id, n := range decided {
			if n > 1 {
				rt.Fatalf("ticket %d granted %d times", id, n)
			}
		}
		for i := 1; i < len(starts); i++ {
			if starts[i].Sub(starts[i-1]) < g.interval() {
				rt.Fatalf("two loads started %v apart", starts[i].Sub(starts[i-1]))
			}
		}
	})
}

func TestPatienceIsBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0))
		alive := rapid.Bool().Draw(rt, "alive")
		load := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(rt, "load"))
		deadline := t0.Add(time.Duration(rapid.Int64Range(0, int64(2*time.Minute)).Draw(rt, "deadline")))
		until := WaitLimit{}.Until(t0, deadline, load, alive, r)
		limit := DefaultResponseTimeout
		if alive {
			limit = DefaultMaxWait
		}
		if until.Before(t0) || until.After(t0.Add(limit*3/2)) {
			rt.Fatalf("proceeds after %v", until.Sub(t0))
		}
		if until.After(t0) && until.After(deadline.Add(-load)) {
			rt.Fatalf("waits until %v, though a load of %v is due in %v", until.Sub(t0), load, deadline.Sub(t0))
		}
	})
}

func TestAdapterSharesAddUp(t *testing.T) {
	for _, agents := range []int{1, 3, 12, 32, 1600} {
		sum := 0
		for i := range agents {
			sum += AdapterShare(store.ParallelAdapters, agents, i)
		}
		if sum != store.ParallelAdapters {
			t.Errorf("%d agents share %d loads, want %d", agents, sum, store.ParallelAdapters)
		}
	}
}
