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

func lruPolicies() Policies {
	return Policies{
		Models:   func(func(ident.Model) float64) keepalive.Policy[ident.Model] { return NewLRU[ident.Model]() },
		Adapters: func() keepalive.Policy[keepalive.AdapterKey] { return NewLRU[keepalive.AdapterKey]() },
	}
}

func fixedTimeoutPolicies(d time.Duration) Policies {
	p := lruPolicies()
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

func TestSameSeedGivesSameResult(t *testing.T) {
	o := Options{Deployment: Nordfjell(), Policies: fixedTimeoutPolicies(time.Minute), Seed: 1}
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
		short := run(t, Options{Deployment: d, Policies: fixedTimeoutPolicies(time.Minute), Seed: 1})
		long := run(t, Options{Deployment: d, Policies: fixedTimeoutPolicies(time.Hour), Seed: 1})
		if short.IdleHours >= long.IdleHours || short.ColdShare() <= long.ColdShare() {
			t.Errorf("%s: 1 min %.0f h, %.2f cold; 1 h %.0f h, %.2f cold", d.Name,
				short.IdleHours, short.ColdShare(), long.IdleHours, long.ColdShare())
		}
	}
}

func TestMemoryAndSlotsStayWithinLimits(t *testing.T) {
	o := Options{Deployment: Memoryless(), Policies: lruPolicies(), Seed: 1, Days: 3}
	sim, err := newSimulation(o)
	if err != nil {
		t.Fatal(err)
	}
	for _, a := range drawArrivals(sim.d, sim.models, start, o.Days, sim.rand) {
		sim.events.at(a.At, func(now time.Time) {
			sim.arrive(a, now)
			checkVMs(t, sim)
		})
	}
	sim.events.run(sim.end)
	if sim.result.Evictions == 0 {
		t.Error("memory was never short")
	}
}

// checkVMs checks that each VM's free and reserved memory add up and that its
// replicas have slots.
func checkVMs(t *testing.T, sim *Simulation) {
	t.Helper()
	for i, v := range sim.vms {
		used := int64(0)
		for m, r := range v.replicas {
			if r.reserved {
				used += sim.models[m].memoryMB
			}
			if !slices.Contains(sim.models[m].slots, i) {
				t.Fatalf("%s holds model %d without a slot", v.id, m)
			}
		}
		if v.freeMB < 0 || used+v.freeMB != sim.d.MemoryMB {
			t.Fatalf("%s: %d MB used, %d MB free of %d", v.id, used, v.freeMB, sim.d.MemoryMB)
		}
	}
}

func TestEveryRequestIsCountedOnce(t *testing.T) {
	o := Options{Deployment: Nordfjell(), Policies: fixedTimeoutPolicies(time.Minute), Seed: 3, Days: 4, StallShare: 0.2, Slowdown: 10}
	sim, err := newSimulation(o)
	if err != nil {
		t.Fatal(err)
	}
	arrivals := drawArrivals(sim.d, sim.models, start, o.Days-1, sim.rand)
	for _, a := range arrivals {
		sim.events.at(a.At, func(now time.Time) { sim.arrive(a, now) })
	}
	sim.events.run(sim.end)
	if len(sim.result.Cold) != len(arrivals) {
		t.Errorf("%d requests counted of %d", len(sim.result.Cold), len(arrivals))
	}
}

func TestWeightCacheEvictsLeastRecentlyUsed(t *testing.T) {
	models := []model{{memoryMB: 40}, {memoryMB: 40}, {memoryMB: 40}, {memoryMB: 200}}
	c := weightCache{freeMB: 100}
	for _, m := range []int{0, 1, 0, 2, 3} {
		c.put(m, models)
	}
	if !c.has(0) || c.has(1) || !c.has(2) || c.has(3) {
		t.Errorf("cache holds %v", c.byRecency)
	}
}

func TestTierAfterUnload(t *testing.T) {
	v := &vm{}
	if got := v.tier(0); got != engine.TierRemote {
		t.Errorf("tier = %q without a copy", got)
	}
	v.disk.byRecency = []int{0}
	if got := v.tier(0); got != engine.TierDisk {
		t.Errorf("tier = %q with a copy on disk", got)
	}
}
