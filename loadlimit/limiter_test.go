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

func newLimiter(t testing.TB) *Limiter {
	t.Helper()
	l, err := New(Config{Store: store})
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// enqueue adds a request and returns the IDs of the permits that are granted as
// a result.
func enqueue(t testing.TB, l *Limiter, r Request, now time.Time) []PermitID {
	t.Helper()
	ds, err := l.Enqueue(r, now)
	if err != nil {
		t.Fatal(err)
	}
	return grantedIDs(ds)
}

func grantedIDs(ds []Decision) []PermitID {
	var ids []PermitID
	for _, d := range ds {
		if d.Verdict == Granted {
			ids = append(ids, d.ID)
		}
	}
	return ids
}

func TestNewRejectsInvalidConfig(t *testing.T) {
	invalid := []Config{
		{},
		{Store: config.WeightStore{LoadsPerSecond: 5, ParallelLoads: 4}},
		{Store: store, ExpiryFactor: 0.5},
		{Store: store, MaxQueue: -1},
	}
	for _, cfg := range invalid {
		_, err := New(cfg)
		var ce *ConfigError
		if !errors.As(err, &ce) {
			t.Errorf("New(%+v) = %v, want a *ConfigError", cfg, err)
		}
	}
}

func TestOrderIsPriorityThenDeadline(t *testing.T) {
	l := newLimiter(t)
	enqueue(t, l, Request{ID: 1}, t0)
	waiting := []Request{
		{ID: 2, Priority: 1, Deadline: t0.Add(time.Minute)},
		{ID: 3, Priority: 0},
		{ID: 4, Priority: 0, Deadline: t0.Add(time.Hour)},
		{ID: 5, Priority: 0, Deadline: t0.Add(time.Minute)},
	}
	for _, r := range waiting {
		enqueue(t, l, r, t0)
	}
	now, want := t0, []PermitID{5, 4, 3, 2}
	for _, id := range want {
		now = now.Add(time.Second)
		got := grantedIDs(l.Tick(now))
		if len(got) != 1 || got[0] != id {
			t.Fatalf("granted %v, want %d", got, id)
		}
		l.Complete(id, now)
	}
}

func TestPermitExpiresWithoutHeartbeat(t *testing.T) {
	l := newLimiter(t)
	now := t0
	for id := range PermitID(5) {
		enqueue(t, l, Request{ID: id}, now)
		now = now.Add(time.Second)
	}
	if l.Permits(ModelLoad) != 4 || l.Queued() != 1 {
		t.Fatalf("%d permits, %d queued", l.Permits(ModelLoad), l.Queued())
	}
	next, ok := l.NextTick()
	if !ok {
		t.Fatal("no tick due while permits are issued")
	}
	if got := grantedIDs(l.Tick(next)); len(got) != 1 || got[0] != 4 {
		t.Errorf("granted %v at the expiry of the first permit, want 4", got)
	}
}

func TestHeartbeatKeepsPermit(t *testing.T) {
	l := newLimiter(t)
	enqueue(t, l, Request{ID: 1}, t0)
	due, _ := l.NextTick()
	l.Heartbeat(1, due.Add(-time.Millisecond))
	if ds := l.Tick(due); len(ds) != 0 {
		t.Errorf("decisions %v after a heartbeat, want none", ds)
	}
}

func TestExpiryGrowsWithLoadTime(t *testing.T) {
	l := newLimiter(t)
	now := t0
	for id := range PermitID(30) {
		enqueue(t, l, Request{ID: id}, now)
		now = now.Add(10 * DefaultExpectedLoad)
		l.Heartbeat(id, now)
		l.Complete(id, now)
	}
	enqueue(t, l, Request{ID: 99}, now)
	if ds := l.Tick(now.Add(10 * DefaultExpectedLoad)); len(ds) != 0 {
		t.Errorf("decisions %v during a load of mean duration, want none", ds)
	}
}

func TestRequestIsDroppedAtItsDeadline(t *testing.T) {
	l := newLimiter(t)
	enqueue(t, l, Request{ID: 1}, t0)
	enqueue(t, l, Request{ID: 2, Deadline: t0.Add(time.Millisecond)}, t0)
	ds := l.Tick(t0.Add(time.Millisecond))
	if len(ds) != 1 || ds[0] != (Decision{ID: 2, Verdict: TooLate}) {
		t.Errorf("decisions = %v", ds)
	}
	if l.Queued() != 0 {
		t.Errorf("%d requests queued", l.Queued())
	}
}

func TestAdapterLoadsHaveTheirOwnLimit(t *testing.T) {
	l := newLimiter(t)
	n := 0
	for id := range PermitID(40) {
		n += len(enqueue(t, l, Request{ID: id, Class: AdapterLoad}, t0))
	}
	if n != store.ParallelAdapters {
		t.Errorf("%d adapter loads at once, want %d", n, store.ParallelAdapters)
	}
	if got := enqueue(t, l, Request{ID: 100}, t0); len(got) != 1 {
		t.Error("model load delayed by adapter loads")
	}
}

func TestEnqueueRejectsDuplicateAndFullQueue(t *testing.T) {
	l, err := New(Config{Store: store, MaxQueue: 1})
	if err != nil {
		t.Fatal(err)
	}
	enqueue(t, l, Request{ID: 1}, t0)
	_, err = l.Enqueue(Request{ID: 1}, t0)
	var dup *DuplicateError
	if !errors.As(err, &dup) {
		t.Errorf("duplicate request: got %v, want *DuplicateError", err)
	}
	enqueue(t, l, Request{ID: 2}, t0)
	_, err = l.Enqueue(Request{ID: 3}, t0)
	var full *FullError
	if !errors.As(err, &full) || full.Queued != 1 {
		t.Errorf("full queue: got %v, want *FullError", err)
	}
}

func TestEstimatedWaitGrowsWithQueueLength(t *testing.T) {
	l := newLimiter(t)
	for id := range PermitID(20) {
		enqueue(t, l, Request{ID: id, Priority: 1}, t0)
	}
	urgent := l.EstimateWait(Request{ID: 100, Priority: 0}, t0)
	last := l.EstimateWait(Request{ID: 100, Priority: 2}, t0)
	if urgent >= last {
		t.Errorf("estimated wait: most urgent %v, least urgent %v", urgent, last)
	}
}

// TestLimitsHoldUnderRandomEvents applies events in random order and checks the
// limits of the store, and that each request is granted at most once and
// finally decided.
func TestLimitsHoldUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l, err := New(Config{Store: store})
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
				ds, err := l.Enqueue(Request{ID: next, Priority: ident.Priority(rapid.IntRange(0, 2).Draw(rt, "priority")), Deadline: now.Add(time.Minute)}, now)
				if err != nil {
					rt.Fatal(err)
				}
				open[next] = true
				next++
				note(ds)
			case 2:
				note(l.Complete(id, now))
				delete(open, id)
			case 3:
				note(l.Cancel(id, now))
				delete(open, id)
			case 4:
				note(l.Tick(now))
			}
			if l.Permits(ModelLoad) > store.ParallelLoads {
				rt.Fatalf("%d permits issued", l.Permits(ModelLoad))
			}
			if got := l.Permits(ModelLoad) + l.Queued(); got != len(open) {
				rt.Fatalf("%d requests with a permit or queued, want %d", got, len(open))
			}
		}
		for id, n := range decided {
			if n > 1 {
				rt.Fatalf("permit %d granted %d times", id, n)
			}
		}
		for i := 1; i < len(starts); i++ {
			if starts[i].Sub(starts[i-1]) < l.startInterval() {
				rt.Fatalf("two model loads started only %v apart", starts[i].Sub(starts[i-1]))
			}
		}
	})
}

func TestWaitIsBounded(t *testing.T) {
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

func TestAdapterSharesSumToLimit(t *testing.T) {
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
