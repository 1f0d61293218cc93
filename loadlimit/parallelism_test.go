package loadlimit

import (
	"testing"
	"time"

	"github.com/laureltally/laureltally/config"
)

// weightStore loads models as the deployments describe it: each load takes its
// configured time while no more than fullSpeedLoads run, and proportionally longer
// beyond.
type weightStore struct {
	fullSpeedLoads int
	loadTime       time.Duration
	// remaining is the work left of each load.
	remaining map[PermitID]time.Duration
	begun     map[PermitID]time.Time
}

// run plays load permits for a queue that never empties and returns the limit in force
// and the number of loads ended.
func (w *weightStore) run(t *testing.T, l *Limiter, duration time.Duration) (limit, ended int) {
	t.Helper()
	const step = 50 * time.Millisecond
	w.remaining, w.begun = map[PermitID]time.Duration{}, map[PermitID]time.Time{}
	next := PermitID(0)
	start := func(ds []Decision, now time.Time) {
		for _, id := range grantedIDs(ds) {
			w.remaining[id], w.begun[id] = w.loadTime, now
		}
	}
	for now := t0; now.Sub(t0) < duration; now = now.Add(step) {
		for l.Queued() < 20 {
			next++
			ds, err := l.Enqueue(Request{ID: next, Class: ModelLoad}, now)
			if err != nil {
				t.Fatal(err)
			}
			start(ds, now)
		}
		start(l.Tick(now), now)
		speed := min(1, float64(w.fullSpeedLoads)/float64(max(1, len(w.remaining))))
		for id := range w.remaining {
			w.remaining[id] -= time.Duration(speed * float64(step))
			if w.remaining[id] > 0 {
				continue
			}
			took := now.Add(step).Sub(w.begun[id])
			delete(w.remaining, id)
			ended++
			start(l.CompleteLoad(id, took, w.loadTime, now.Add(step)), now.Add(step))
		}
	}
	return l.ParallelLoads(), ended
}

// Two deployments that differ only in how many loads their weight store bears: the
// limiter finds the number of each, from either side, and the loads that the store
// could have done are done.
func TestParallelLoadsAreLearned(t *testing.T) {
	for _, tc := range []struct{ fullSpeed, start int }{{2, 2}, {4, 2}, {2, 4}, {8, 2}, {2, 8}, {1, 4}} {
		w := &weightStore{fullSpeedLoads: tc.fullSpeed, loadTime: 6 * time.Second}
		l, err := New(Config{Store: config.WeightStore{LoadsPerSecond: 10, ParallelLoads: tc.start, ParallelAdapters: 1}, ExpectedLoad: w.loadTime})
		if err != nil {
			t.Fatal(err)
		}
		const duration = 90 * time.Second
		limit, ended := w.run(t, l, duration)
		if limit < tc.fullSpeed || limit > tc.fullSpeed+1 {
			t.Errorf("%d loads at full speed, started with %d: limit %d", tc.fullSpeed, tc.start, limit)
		}
		if possible := tc.fullSpeed * int(duration/w.loadTime); ended < possible/2 {
			t.Errorf("%d loads at full speed, started with %d: %d of %d possible loads", tc.fullSpeed, tc.start, ended, possible)
		}
	}
}

// One slow load, for example on a slow engine, does not show that the store is
// overloaded.
func TestOneSlowLoadDoesNotLowerTheLimit(t *testing.T) {
	p := parallelism{value: 4}
	p.observe(t0, 4, 3)
	p.observe(t0, 4, 1)
	p.observe(t0, 4, 3)
	if p.value != 4 {
		t.Errorf("limit %d", p.value)
	}
	p.observe(t0, 4, 2)
	if p.value != 2 {
		t.Errorf("limit %d after two slow loads in a row, want 2", p.value)
	}
}

func TestUnusedPermitDoesNotChangeTheLimit(t *testing.T) {
	l := newLimiter(t)
	enqueue(t, l, Request{ID: 1, Class: ModelLoad}, t0)
	l.Cancel(1, t0.Add(time.Minute))
	if l.ParallelLoads() != store.ParallelLoads {
		t.Errorf("limit %d, want %d", l.ParallelLoads(), store.ParallelLoads)
	}
}

func TestPermitHistory(t *testing.T) {
	var h permitHistory
	at := func(s int) time.Time { return t0.Add(time.Duration(s) * time.Second) }
	for s, n := range []int{0, 2, 2, 4} {
		h.record(at(s), n)
	}
	for _, tc := range []struct {
		from, to int
		want     float64
	}{{1, 3, 2}, {2, 4, 3}, {3, 5, 4}, {0, 2, 1}, {3, 3, 0}} {
		if got := h.mean(at(tc.from), at(tc.to)); got != tc.want {
			t.Errorf("mean from %d to %d s: %v, want %v", tc.from, tc.to, got, tc.want)
		}
	}
	h.record(at(1000), 1)
	if len(h.changes) != 2 || h.mean(at(900), at(1000)) != 4 {
		t.Errorf("kept %v", h.changes)
	}
}
