package coldstart

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
)

const (
	testModel    = ident.Model("outlook")
	testMemoryMB = 16 * mbPerGB
	testService  = 2 * time.Second
)

var t0 = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

func newChooser(t testing.TB, region ident.Region) *Chooser {
	t.Helper()
	c, err := New(Config{Region: region, Zone: ident.Zone(region)})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// cold returns a reachable candidate without the model.
func cold(vm ident.VM, region ident.Region, tier engine.Tier) Candidate {
	return Candidate{
		VM: vm, Region: region, Zone: ident.Zone(region), Tier: tier,
		FreeMB: testMemoryMB, Concurrency: 4, Reachable: true,
	}
}

func query(now time.Time, cands ...Candidate) Query {
	q := Query{
		Model: testModel, MemoryMB: testMemoryMB, Candidates: cands,
		ServiceTime: testService, Now: now, Deadline: now.Add(2 * time.Minute),
	}
	for i, c := range cands {
		q.Slots = append(q.Slots, Slot{VM: c.VM, Fence: ident.Fence(i + 1)})
	}
	return q
}

func choose(t testing.TB, c *Chooser, q Query) Choice {
	t.Helper()
	got, err := c.Choose(q)
	if err != nil {
		t.Fatal(err)
	}
	return got
}

func expect(t *testing.T, got Choice, vm ident.VM, a Action) {
	t.Helper()
	if got.VM != vm || got.Action != a {
		t.Errorf("choice = %v at %s, want %v at %s", got.Action, got.VM, a, vm)
	}
}

func TestNewRejectsInvalidConfig(t *testing.T) {
	for _, cfg := range []Config{{}, {Region: "a", Quantile: 1}, {Region: "a", MaxModels: -1}} {
		_, err := New(cfg)
		var ce *ConfigError
		if !errors.As(err, &ce) {
			t.Errorf("New(%+v) = %v, want a *ConfigError", cfg, err)
		}
	}
}

func TestRoutersInAllRegionsLoadOnTheSameVM(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		regions := []ident.Region{"a", "b", "c"}
		tiers := []engine.Tier{engine.TierMemory, engine.TierDisk, engine.TierRemote, ""}
		var cands []Candidate
		for i := range rapid.IntRange(1, 6).Draw(rt, "slots") {
			c := cold(ident.VM(fmt.Sprint("vm", i)), rapid.SampledFrom(regions).Draw(rt, "region"), rapid.SampledFrom(tiers).Draw(rt, "tier"))
			c.Reachable = rapid.Bool().Draw(rt, "reachable")
			cands = append(cands, c)
		}
		first := map[ident.VM]bool{}
		for _, r := range regions {
			q := query(t0, rapid.Permutation(cands).Draw(rt, "order")...)
			for i := range q.Candidates {
				q.Candidates[i].FreeMB = rapid.Int64Range(0, 2*testMemoryMB).Draw(rt, "free")
			}
			got, err := newChooser(t, r).Choose(q)
			var none *NoReachableVMError
			if errors.As(err, &none) {
				first["none"] = true
				continue
			}
			if err != nil || got.Action != StartLoad {
				rt.Fatalf("choice %+v, error %v", got, err)
			}
			first[got.VM] = true
		}
		if len(first) != 1 {
			rt.Fatalf("routers chose %v", first)
		}
	})
}

func TestLoadPrefersNearTier(t *testing.T) {
	q := query(t0, cold("r1", "a", engine.TierRemote), cold("d1", "b", engine.TierDisk), cold("r2", "a", engine.TierRemote))
	expect(t, choose(t, newChooser(t, "a"), q), "d1", StartLoad)
}

func TestLoadPrefersHomeRegionAmongEqualTiers(t *testing.T) {
	q := query(t0, cold("v1", "a", engine.TierDisk), cold("v2", "b", engine.TierDisk), cold("v3", "c", engine.TierDisk))
	for _, c := range q.Candidates {
		q.Home = c.Region
		expect(t, choose(t, newChooser(t, "a"), q), c.VM, StartLoad)
	}
}

func TestSecondRequestJoinsTheLoad(t *testing.T) {
	c := newChooser(t, "a")
	q := query(t0, cold("v1", "a", engine.TierDisk), cold("v2", "b", engine.TierDisk))
	first := choose(t, c, q)
	q.Now = t0.Add(time.Second)
	second := choose(t, c, q)
	expect(t, second, first.VM, Join)
	if second.FirstToken >= first.FirstToken {
		t.Errorf("time to first token is %v after 1 s of loading, was %v", second.FirstToken, first.FirstToken)
	}
}

func TestLongQueueLoadsAnotherReplica(t *testing.T) {
	tests := []struct {
		waiting int
		want    Action
	}{{0, Serve}, {4, Serve}, {200, StartLoad}}
	for _, tt := range tests {
		warm := cold("v1", "a", engine.TierDisk)
		warm.Phase, warm.Running, warm.Waiting = engine.PhaseLoaded, 4, tt.waiting
		got := choose(t, newChooser(t, "a"), query(t0, warm, cold("v2", "a", engine.TierRemote)))
		if got.Action != tt.want {
			t.Errorf("%d waiting: %v, want %v", tt.waiting, got.Action, tt.want)
		}
	}
}

func TestOverdueLoadStartsAnother(t *testing.T) {
	c := newChooser(t, "a")
	q := query(t0, cold("v1", "a", engine.TierDisk), cold("v2", "a", engine.TierDisk))
	first := choose(t, c, q)
	q.Candidates[0].Phase, q.Candidates[1].Phase = phaseIf(first.VM == "v1"), phaseIf(first.VM == "v2")
	q.Now = first.Recheck.Add(-time.Millisecond)
	expect(t, choose(t, c, q), first.VM, Join)
	q.Now = first.Recheck.Add(time.Millisecond)
	if got := choose(t, c, q); got.Action != StartLoad || got.VM == first.VM {
		t.Errorf("overdue load on %s: %v at %s", first.VM, got.Action, got.VM)
	}
}

func phaseIf(loading bool) engine.Phase {
	if loading {
		return engine.PhaseLoading
	}
	return ""
}

func TestTightDeadlineLoadsFromNearerTier(t *testing.T) {
	c := newChooser(t, "a")
	slow := cold("v1", "a", engine.TierRemote)
	slow.Phase = engine.PhaseLoading
	q := query(t0, slow, cold("v2", "a", engine.TierMemory))
	expect(t, choose(t, c, q), "v1", Join)
	q.Deadline = t0.Add(5 * time.Second)
	expect(t, choose(t, c, q), "v2", StartLoad)
}

func TestUnreachableVMIsSkipped(t *testing.T) {
	c := newChooser(t, "a")
	q := query(t0, cold("v1", "a", engine.TierDisk), cold("v2", "a", engine.TierDisk))
	first := choose(t, c, q)
	for i := range q.Candidates {
		q.Candidates[i].Reachable = q.Candidates[i].VM != first.VM
	}
	q.Now = t0.Add(time.Second)
	if got := choose(t, c, q); got.VM == first.VM || got.Action != StartLoad {
		t.Errorf("%v at %s, but %s is unreachable", got.Action, got.VM, first.VM)
	}
}

func TestFailedLoadIsTriedLast(t *testing.T) {
	c := newChooser(t, "a")
	q := query(t0, cold("v1", "a", engine.TierDisk), cold("v2", "a", engine.TierRemote))
	expect(t, choose(t, c, q), "v1", StartLoad)
	c.ObserveLoadFailure(testModel, "v1", t0)
	expect(t, choose(t, c, q), "v2", StartLoad)
	c.ObserveLoadFailure(testModel, "v2", t0)
	expect(t, choose(t, c, q), "v1", StartLoad)
}

func TestUnreportedLoadIsTriedLast(t *testing.T) {
	c := newChooser(t, "a")
	q := query(t0, cold("v1", "a", engine.TierDisk), cold("v2", "a", engine.TierRemote))
	expect(t, choose(t, c, q), "v1", StartLoad)
	q.Now = t0.Add(time.Minute)
	expect(t, choose(t, c, q), "v2", StartLoad)
}

func TestOtherRegionOnlyIfFaster(t *testing.T) {
	tests := []struct {
		waiting int
		want    ident.VM
	}{{0, "near"}, {8, "far"}}
	for _, tt := range tests {
		near, far := cold("near", "a", ""), cold("far", "b", "")
		near.Phase, far.Phase = engine.PhaseLoaded, engine.PhaseLoaded
		near.Waiting = tt.waiting
		expect(t, choose(t, newChooser(t, "a"), query(t0, far, near)), tt.want, Serve)
	}
}

func TestNoReachableVMError(t *testing.T) {
	unreachable := cold("v1", "a", "")
	unreachable.Reachable = false
	_, err := newChooser(t, "a").Choose(query(t0, unreachable))
	var none *NoReachableVMError
	if !errors.As(err, &none) || none.Slots != 1 {
		t.Errorf("error = %v, want a *NoReachableVMError with one slot", err)
	}
}

func TestTrackedModelsAreBounded(t *testing.T) {
	c, err := New(Config{Region: "a", MaxModels: 3})
	if err != nil {
		t.Fatal(err)
	}
	for i := range 10 {
		q := query(t0.Add(time.Duration(i)*time.Second), cold("v1", "a", ""))
		q.Model = ident.Model(fmt.Sprint("m", i))
		choose(t, c, q)
	}
	if len(c.tracked) != 3 {
		t.Errorf("%d tracked models, want 3", len(c.tracked))
	}
	if _, ok := c.tracked["m9"]; !ok {
		t.Error("the newest model was evicted")
	}
}

func TestLoadTimesAdaptToSlowStore(t *testing.T) {
	l := NewLoadTimes()
	before := l.Quantile(engine.TierRemote, testMemoryMB, medianQuantile)
	for range 30 {
		l.Observe(engine.TierRemote, testMemoryMB, 10*before)
	}
	after := l.Quantile(engine.TierRemote, testMemoryMB, medianQuantile)
	if after < 8*before || after > 12*before {
		t.Errorf("median = %v after loads of %v", after, 10*before)
	}
	if d := l.Quantile(engine.TierDisk, testMemoryMB, medianQuantile); d > before {
		t.Errorf("median from disk = %v, changed by loads from the store", d)
	}
}

func TestTierChangeCountsAfterReportLag(t *testing.T) {
	unchanged, changed := cold("v1", "a", engine.TierDisk), cold("v2", "a", engine.TierMemory)
	stale := changed
	stale.Tier = engine.TierRemote
	changed.PreviousTier, changed.TierSince = engine.TierRemote, t0.Add(-DefaultReportLag/2)
	expect(t, choose(t, newChooser(t, "a"), query(t0, unchanged, changed)), "v1", StartLoad)
	expect(t, choose(t, newChooser(t, "b"), query(t0, unchanged, stale)), "v1", StartLoad)
	later := t0.Add(DefaultReportLag)
	expect(t, choose(t, newChooser(t, "a"), query(later, unchanged, changed)), "v2", StartLoad)
}
