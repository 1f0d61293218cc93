package replay

import (
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/keepalive"
)

func lru() Policies {
	return Policies{
		Models:   func(func(ident.Model) float64) keepalive.Policy[ident.Model] { return NewLRU[ident.Model]() },
		Adapters: func() keepalive.Policy[keepalive.AdapterKey] { return NewLRU[keepalive.AdapterKey]() },
	}
}

func fixed(d time.Duration) Policies {
	p := lru()
	p.Models = func(func(ident.Model) float64) keepalive.Policy[ident.Model] {
		return NewFixedTimeout[ident.Model](d)
	}
	return p
}

func run(t *testing.T, o Options) *Result {
	t.Helper()
	o.Days, o.WarmupDays = 5, 1
	r, err := Run(o)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestSameSeedSameFigures(t *testing.T) {
	o := Options{Deployment: Nordfjell(), Policies: fixed(time.Minute), Seed: 1}
	if a, b := run(t, o), run(t, o); !reflect.DeepEqual(a, b) {
		t.Error("two replays of one seed differ")
	}
	other := o
	other.Seed = 2
	if reflect.DeepEqual(run(t, o).Cold, run(t, other).Cold) {
		t.Error("two seeds give the same requests")
	}
}

func TestLongerTimeoutTradesHoursForColdStarts(t *testing.T) {
	for _, d := range []Deployment{Muotiennuste(), Nordfjell()} {
		short := run(t, Options{Deployment: d, Policies: fixed(time.Minute), Seed: 1})
		long := run(t, Options{Deployment: d, Policies: fixed(time.Hour), Seed: 1})
		if short.IdleHours >= long.IdleHours || short.ColdShare() <= long.ColdShare() {
			t.Errorf("%s: 1 min %.0f h, %.2f cold; 1 h %.0f h, %.2f cold", d.Name,
				short.IdleHours, short.ColdShare(), long.IdleHours, long.ColdShare())
		}
	}
}

func TestMemoryAndRightsHold(t *testing.T) {
	o := Options{Deployment: Memoryless(), Policies: lru(), Seed: 1, Days: 3}
	w, err := newWorld(o)
	if err != nil {
		t.Fatal(err)
	}
	for _, a := range drawArrivals(w.d, w.models, start, o.Days, w.rand) {
		w.events.at(a.At, func(now time.Time) {
			w.arrive(a, now)
			checkVMs(t, w)
		})
	}
	w.events.run(w.end)
	if w.result.Evictions == 0 {
		t.Error("memory was never short")
	}
}

// checkVMs checks the memory ledger and the slots of each VM.
func checkVMs(t *testing.T, w *World) {
	t.Helper()
	for i, v := range w.vms {
		used := int64(0)
		for m, r := range v.replicas {
			if r.reserved {
				used += w.models[m].memoryMB
			}
			if !slices.Contains(w.models[m].slots, i) {
				t.Fatalf("%s holds model %d without a slot", v.id, m)
			}
		}
		if v.freeMB < 0 || used+v.freeMB != w.d.MemoryMB {
			t.Fatalf("%s: %d MB used, %d MB free of %d", v.id, used, v.freeMB, w.d.MemoryMB)
		}
	}
}

func TestEveryRequestIsCountedOnce(t *testing.T) {
	o := Options{Deployment: Nordfjell(), Policies: fixed(time.Minute), Seed: 3, Days: 4, StallShare: 0.2, Slowdown: 10}
	w, err := newWorld(o)
	if err != nil {
		t.Fatal(err)
	}
	arrivals := drawArrivals(w.d, w.models, start, o.Days-1, w.rand)
	for _, a := range arrivals {
		w.events.at(a.At, func(now time.Time) { w.arrive(a, now) })
	}
	w.events.run(w.end)
	if len(w.result.Cold) != len(arrivals) {
		t.Errorf("%d requests counted of %d", len(w.result.Cold), len(arrivals))
	}
}

func TestWeightCacheDropsTheOldest(t *testing.T) {
	models := []model{{memoryMB: 40}, {memoryMB: 40}, {memoryMB: 40}, {memoryMB: 200}}
	c := weightCache{freeMB: 100}
	for _, m := range []int{0, 1, 0, 2, 3} {
		c.put(m, models)
	}
	if !c.has(0) || c.has(1) || !c.has(2) || c.has(3) {
		t.Errorf("cache holds %v", c.order)
	}
}

func TestTierAfterUnload(t *testing.T) {
	v := &vm{}
	if got := v.tier(0); got != engine.TierRemote {
		t.Errorf("tier = %q without a copy", got)
	}
	v.disk.order = []int{0}
	if got := v.tier(0); got != engine.TierDisk {
		t.Errorf("tier = %q with a copy on disk", got)
	}
}
