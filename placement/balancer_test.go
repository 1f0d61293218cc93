package placement

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/fleet"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/serving"
	"github.com/laureltally/laureltally/wire"
)

var start = time.Unix(1000, 0)

// newBalancer returns a Balancer with n VMs of the service "models", with ids 0 to
// n-1 and addresses from 10.0.0.1:80, in the given regions in turn.
func newBalancer(t *testing.T, n int, regions ...ident.Region) *Balancer {
	t.Helper()
	b, err := New(Options{Region: "r0", Zone: "z0", AgentPort: 7000, Rand: rand.New(rand.NewPCG(1, 2))})
	if err != nil {
		t.Fatal(err)
	}
	e := &serving.Engine{MemoryMB: 100, Concurrency: 16, LoadsPerSecond: 4}
	for i := range 5 {
		e.Models = append(e.Models, serving.Model{Name: ident.Model(fmt.Sprint("m", i)), MemoryMB: 45, RemoteLoad: 6 * time.Second, DiskLoad: time.Second, MemoryLoad: 500 * time.Millisecond})
	}
	e.Index()
	b.Configure(map[ident.Upstream]*serving.Service{"models": {Name: "models", Engine: e}})
	var changes []fleet.Change
	for i := range n {
		changes = append(changes, fleet.Change{Kind: fleet.Joined, VM: &fleet.VM{
			ID: ident.VM(fmt.Sprint(i)), Service: "models", Address: address(i), Zone: "z0",
			Region: regions[i%len(regions)], Concurrency: 16,
		}})
	}
	if err := b.Apply(start, changes); err != nil {
		t.Fatal(err)
	}
	return b
}

func address(i int) string { return fmt.Sprintf("10.0.0.%d:80", i+1) }

// report reports VM i with the given models loaded and on disk.
func report(b *Balancer, now time.Time, i, running int, loaded, disk []ident.Model) {
	r := &wire.Report{Concurrency: 16, Running: running}
	for _, m := range loaded {
		r.Models = append(r.Models, wire.ModelReport{Model: m, Phase: engine.PhaseLoaded, Tier: engine.TierDisk})
	}
	for _, m := range disk {
		r.Models = append(r.Models, wire.ModelReport{Model: m, Tier: engine.TierDisk})
	}
	b.Report(now, address(i), r)
}

func choose(t *testing.T, b *Balancer, now time.Time, n Requirements) Choice {
	t.Helper()
	n.Service = "models"
	if n.Remaining == 0 {
		n.Remaining = 20 * time.Second
	}
	c, err := b.Choose(now, n)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

type models = []ident.Model

func TestVMWithModelLoadedIsPreferred(t *testing.T) {
	b := newBalancer(t, 3, "r0")
	report(b, start, 0, 0, models{"m0"}, models{"m1"})
	report(b, start, 1, 3, models{"m1"}, nil)
	report(b, start, 2, 0, models{"m0"}, nil)
	if c := choose(t, b, start, Requirements{Model: "m1"}); c.VM.ID != "1" || c.Readiness != Loaded || !c.AgentReachable || c.AgentAddress != "10.0.0.2:7000" {
		t.Errorf("got %+v on %s", c, c.VM.ID)
	}
}

// A rare model is served by the VM that has its weights, not by an idle one that
// would have to load it from the weight store.
func TestCachedWeightsArePreferredToWeightStore(t *testing.T) {
	b := newBalancer(t, 3, "r0")
	report(b, start, 0, 0, models{"m0"}, nil)
	report(b, start, 1, 12, models{"m0"}, models{"m1"})
	report(b, start, 2, 0, models{"m0"}, nil)
	c := choose(t, b, start, Requirements{Model: "m1"})
	if c.VM.ID != "1" || c.Readiness != Cached || c.Wait != time.Second {
		t.Errorf("got %+v on %s", c, c.VM.ID)
	}
}

// A burst at many routers for a model that no VM has: all routers choose the same VM.
func TestRoutersChooseSameVMForUncachedModel(t *testing.T) {
	var first ident.VM
	for range 5 {
		b := newBalancer(t, 6, "r0")
		for i := range 6 {
			report(b, start, i, 0, models{"m0"}, nil)
		}
		c := choose(t, b, start, Requirements{Model: "m3"})
		if c.Readiness != Remote || first != "" && c.VM.ID != first {
			t.Fatalf("got %+v on %s, earlier on %s", c, c.VM.ID, first)
		}
		first = c.VM.ID
	}
}

// Demand beyond the capacity of the VMs with the model loaded spills over to a VM
// that can load the model before the queue clears.
func TestFullVMsSpillOverToCachedWeights(t *testing.T) {
	b := newBalancer(t, 2, "r0")
	report(b, start, 0, 60, models{"m0"}, nil)
	report(b, start, 1, 0, models{"m1"}, models{"m0"})
	if c := choose(t, b, start, Requirements{Model: "m0"}); c.VM.ID != "1" || c.Readiness != Cached {
		t.Errorf("got %+v on %s", c, c.VM.ID)
	}
}

func TestOwnRegionIsPreferred(t *testing.T) {
	b := newBalancer(t, 4, "r1", "r0")
	for i := range 4 {
		report(b, start, i, 2, models{"m0"}, nil)
	}
	for range 20 {
		if c := choose(t, b, start, Requirements{Model: "m0"}); c.VM.Region != "r0" {
			t.Fatalf("sent to region %s", c.VM.Region)
		}
	}
}

func TestLeavingBlockedAndExcludedVMsAreNotChosen(t *testing.T) {
	b := newBalancer(t, 4, "r0")
	for i := range 4 {
		report(b, start, i, 0, models{"m0"}, nil)
	}
	vm := *b.members["0"].vm
	vm.Leaving = true
	if err := b.Apply(start, []fleet.Change{{Kind: fleet.Leaving, VM: &vm}}); err != nil {
		t.Fatal(err)
	}
	b.Block(start, "1")
	for range 20 {
		if c := choose(t, b, start, Requirements{Model: "m0", Exclude: []ident.VM{"2"}}); c.VM.ID != "3" {
			t.Fatalf("got %s", c.VM.ID)
		}
	}
	if b.Usable(start, &vm) || !b.Usable(start.Add(blockIntervals*DefaultRegistrationInterval), b.members["1"].vm) {
		t.Error("a leaving VM is usable, or a VM stays blocked for too long")
	}
}

// Without an agent's reports the registered models are used, with a reduced
// concurrency.
func TestRegisteredModelsAreUsedWithoutReports(t *testing.T) {
	b := newBalancer(t, 1, "r0")
	vm := *b.members["0"].vm
	vm.Models = models{"m0"}
	if err := b.Apply(start, []fleet.Change{{Kind: fleet.Updated, VM: &vm}}); err != nil {
		t.Fatal(err)
	}
	if c := choose(t, b, start, Requirements{Model: "m0"}); c.AgentReachable || c.Readiness != Loaded {
		t.Errorf("got %+v", c)
	}
	_, err := b.Choose(start, Requirements{Service: "models", Model: "m1"})
	var none *NoVMError
	if !errors.As(err, &none) || none.Known != 1 || none.RetryAfter <= 0 {
		t.Errorf("got %v", err)
	}
}

func TestReportFromRemovedVMIsRejected(t *testing.T) {
	b := newBalancer(t, 1, "r0")
	if err := b.Apply(start, []fleet.Change{{Kind: fleet.Removed, VM: b.members["0"].vm}}); err != nil {
		t.Fatal(err)
	}
	if b.Report(start, address(0), &wire.Report{}) {
		t.Error("taken")
	}
}

// After a cold start every model is loaded once before any is loaded twice.
func TestEveryModelIsLoadedOnceFirst(t *testing.T) {
	b := newBalancer(t, 2, "r0")
	report(b, start, 0, 0, models{"m0"}, nil)
	report(b, start, 1, 0, models{"m1"}, nil)
	seen := map[ident.Model]bool{}
	for i := range 3 {
		name, _ := b.NextRemoteLoad(start, "models", address(i%2))
		b.ExpectLoad(name, address(i%2))
		if name == "" || seen[name] {
			t.Fatalf("%q is chosen again", name)
		}
		seen[name] = true
	}
	if name, _ := b.NextRemoteLoad(start, "models", address(0)); name != "" {
		t.Errorf("%q is chosen although all models are cached or expected", name)
	}
}

// When demand moves to a model with too few VMs, it is loaded onto more of them,
// before models without demand.
func TestModelWithUnmetDemandIsLoadedOnMoreVMs(t *testing.T) {
	b := newBalancer(t, 3, "r0")
	report(b, start, 0, 60, models{"m0"}, nil)
	report(b, start, 1, 0, models{"m1"}, nil)
	report(b, start, 2, 0, models{"m1"}, nil)
	now := start
	for range 100 {
		now = now.Add(20 * time.Millisecond)
		choose(t, b, now, Requirements{Model: "m0"})
	}
	name, value := b.NextRemoteLoad(now, "models", address(1))
	if name != "m0" || value <= firstLoadValue {
		t.Errorf("got %q with value %v", name, value)
	}
	if name, _ := b.NextRemoteLoad(now, "models", address(0)); name == "m0" {
		t.Error("m0 is chosen for the VM that has it loaded")
	}
}

// After a restart of everything the routers know only earlier registrations: after
// the first response that a model is not loaded, the next VM is tried.
func TestVMThatLacksModelIsNotTriedAgain(t *testing.T) {
	b := newBalancer(t, 2, "r0")
	for i := range 2 {
		vm := *b.members[ident.VM(fmt.Sprint(i))].vm
		vm.Models = models{"m0"}
		if err := b.Apply(start, []fleet.Change{{Kind: fleet.Updated, VM: &vm}}); err != nil {
			t.Fatal(err)
		}
	}
	first := choose(t, b, start, Requirements{Model: "m0"})
	b.ModelMissing(start, first.VM.ID, "m0")
	second := choose(t, b, start, Requirements{Model: "m0"})
	if second.VM.ID == first.VM.ID {
		t.Error("the same VM is chosen again")
	}
	b.ModelMissing(start, second.VM.ID, "m0")
	if c, err := b.Choose(start, Requirements{Service: "models", Model: "m0"}); err == nil {
		t.Errorf("got %s", c.VM.ID)
	}
	later := start.Add(missingModelIntervals * DefaultRegistrationInterval)
	if err := b.Apply(later, []fleet.Change{{Kind: fleet.Updated, VM: first.VM}}); err != nil {
		t.Fatal(err)
	}
	if c := choose(t, b, later, Requirements{Model: "m0"}); c.VM.ID != first.VM.ID {
		t.Errorf("got %s, but %s is registered with the model again", c.VM.ID, first.VM.ID)
	}
}

// When demand moves to a model that no VM has, every VM that receives requests for it
// requests a permit: the first is worth granting, the next only while callers still
// find no free VM.
func TestOneModelIsNotLoadedOnEveryVM(t *testing.T) {
	b := newBalancer(t, 4, "r0")
	now := start
	for i := range 4 {
		report(b, now, i, 0, models{"m1"}, nil)
	}
	for range 3 {
		choose(t, b, now, Requirements{Model: "m0", Remaining: 20 * time.Second})
	}
	if b.RemoteLoadValue(now, "models", "m0") == 0 {
		t.Fatal("the first load has no value")
	}
	expected := b.ExpectLoad("m0", address(0))
	if value := b.RemoteLoadValue(now, "models", "m0"); value > 0 {
		t.Errorf("value %v although a load is expected", value)
	}
	for range 40 {
		choose(t, b, now, Requirements{Model: "m0", Remaining: 20 * time.Second})
	}
	if value := b.RemoteLoadValue(now, "models", "m0"); value == 0 {
		t.Error("a second load has no value although demand is unmet")
	}
	second := b.RemoteLoadValue(now, "models", "m0")
	report(b, now, 0, 0, models{"m1"}, models{"m0"})
	if value := b.RemoteLoadValue(now, "models", "m0"); value != second {
		t.Errorf("value %v once the VM reports the expected load, %v before: it counts twice", value, second)
	}
	b.EndExpectedLoad(expected)
	if value := b.RemoteLoadValue(now, "models", "m0"); value != second {
		t.Errorf("value %v after the end of the load, %v before", value, second)
	}
}

// A sidecar that is restarted, or that drops its permit for another model, ends a load
// that never began: the next permit for the model must not wait for a timeout.
func TestLoadThatNeverBeganIsNotExpected(t *testing.T) {
	b := newBalancer(t, 2, "r0")
	for i := range 2 {
		report(b, start, i, 0, models{"m1"}, nil)
	}
	value := b.RemoteLoadValue(start, "models", "m0")
	id := b.ExpectLoad("m0", address(0))
	if b.RemoteLoadValue(start, "models", "m0") >= value {
		t.Fatal("the expected load is not counted")
	}
	b.EndExpectedLoad(id)
	if got := b.RemoteLoadValue(start, "models", "m0"); got != value {
		t.Errorf("value %v after the end, want %v", got, value)
	}
}

// The load headers of a plain service direct requests to the VM with free capacity.
func TestPlainServiceUsesLoadHeaders(t *testing.T) {
	b := newBalancer(t, 2, "r0")
	b.ReportLoad(start, "0", serving.Load{Running: 16, Waiting: 10, Concurrency: 16})
	b.ReportLoad(start, "1", serving.Load{Running: 1, Concurrency: 16})
	for range 20 {
		if c := choose(t, b, start, Requirements{}); c.VM.ID != "1" {
			t.Fatalf("got %s", c.VM.ID)
		}
	}
}

// Of servers with the same load the one that is not slow at the moment gets the requests,
// until what it stated is too old; a malformed slowness is reported once a server.
func TestPlainServiceUsesSlowness(t *testing.T) {
	b := newBalancer(t, 2, "r0")
	for id, slowness := range map[ident.VM]float64{"0": 2.5, "1": 1} {
		b.ReportLoad(start, id, serving.Load{Running: 1, Concurrency: 16, Slowness: slowness})
	}
	for range 20 {
		if c := choose(t, b, start, Requirements{}); c.VM.ID != "1" {
			t.Fatalf("got %s", c.VM.ID)
		}
	}
	later, chosen := start.Add(10*time.Second), map[ident.VM]int{}
	for range 20 {
		chosen[choose(t, b, later, Requirements{}).VM.ID]++
	}
	if chosen["0"] == 0 {
		t.Error("a slowness of ten seconds ago still counts")
	}
	vm := b.members["0"].vm
	if !b.MalformedSlowness(vm) || b.MalformedSlowness(vm) || !b.MalformedSlowness(b.members["1"].vm) {
		t.Error("malformed slowness is not reported once a server")
	}
}

// A busy model fills one VM to packShare before the next, so that the other VMs
// become idle and have room for rare models.
func TestBusyModelIsPackedOntoFewVMs(t *testing.T) {
	b := newBalancer(t, 4, "r0")
	for i := range 4 {
		report(b, start, i, 0, models{"m0"}, nil)
	}
	sent := map[ident.VM]int{}
	for range 18 {
		c := choose(t, b, start, Requirements{Model: "m0"})
		b.RequestStarted(start, c.VM.ID, 0)
		sent[c.VM.ID]++
	}
	if len(sent) != 2 {
		t.Errorf("18 requests went to %v, with a concurrency of 16 each", sent)
	}
	for vm, n := range sent {
		if n > 10 {
			t.Errorf("%d requests packed onto %s", n, vm)
		}
	}
}

// Reports become less frequent when many routers subscribe to a VM; its agent is
// considered silent only after two announced reports are missing.
func TestAgentIsSilentWhenAnnouncedReportsAreMissing(t *testing.T) {
	b := newBalancer(t, 1, "r0")
	b.Report(start, address(0), &wire.Report{Concurrency: 16, MaxReportInterval: time.Second, Models: []wire.ModelReport{{Model: "m0", Phase: engine.PhaseLoaded}}})
	for _, tc := range []struct {
		after time.Duration
		want  bool
	}{{1900 * time.Millisecond, true}, {2300 * time.Millisecond, false}} {
		if got := b.members["0"].fresh(start.Add(tc.after), DefaultReportTimeout); got != tc.want {
			t.Errorf("fresh after %v: %v", tc.after, got)
		}
	}
}

// With many routers an agent's reports are seconds apart. A reply to one request tells the
// router that the VM has filled up meanwhile, so the next one goes elsewhere.
func TestLoadInRepliesIsUsed(t *testing.T) {
	b := newBalancer(t, 2, "r0")
	report(b, start, 0, 0, models{"m0"}, nil)
	report(b, start, 1, 0, models{"m0"}, nil)
	first := choose(t, b, start, Requirements{Model: "m0"}).VM
	b.ObserveLoad(start, first.Address, &wire.EngineLoad{Running: 16, Waiting: 4, Concurrency: 16})
	if c := choose(t, b, start, Requirements{Model: "m0"}); c.VM.ID == first.ID || c.Wait != 0 {
		t.Errorf("%s is chosen again, expected wait %v", c.VM.ID, c.Wait)
	}
	b.ObserveLoad(start, first.Address, nil)
	b.ObserveLoad(start, "10.9.9.9:80", &wire.EngineLoad{})
}

// A power loss restarts engines under new ids at their addresses. The list has the entries
// of before, with the models of before, for some seconds; requests sent there are declined.
func TestEntryOfEndedServerIsNotUsed(t *testing.T) {
	for name, order := range map[string][2]int64{"new entry after the old one": {1, 2}, "old entry after the new one": {2, 1}} {
		b := newBalancer(t, 0, "r0")
		ids := map[int64]ident.VM{1: "old", 2: "new"}
		for _, started := range order {
			vm := &fleet.VM{ID: ids[started], Started: started, Service: "models", Address: address(0), Zone: "z0", Region: "r0", Concurrency: 16, Models: models{"m0"}}
			if err := b.Apply(start, []fleet.Change{{Kind: fleet.Joined, VM: vm}}); err != nil {
				t.Fatal(err)
			}
		}
		report(b, start, 0, 0, models{"m0"}, nil)
		for range 20 {
			if c := choose(t, b, start, Requirements{Model: "m0"}); c.VM.ID != "new" {
				t.Fatalf("%s: %s is chosen", name, c.VM.ID)
			}
		}
		if b.InUse("old") || !b.InUse("new") {
			t.Errorf("%s: in use: old %v, new %v", name, b.InUse("old"), b.InUse("new"))
		}
		if err := b.Apply(start, []fleet.Change{{Kind: fleet.Removed, VM: b.members["old"].vm}}); err != nil {
			t.Fatal(err)
		}
		if c := choose(t, b, start, Requirements{Model: "m0"}); c.VM.ID != "new" || !c.AgentReachable {
			t.Errorf("%s: after the old entry has expired: %+v", name, c)
		}
	}
}

// The engine's sidecar stays when the engine restarts: its report holds for the new id.
func TestReportHoldsForRestartedServer(t *testing.T) {
	b := newBalancer(t, 1, "r0")
	report(b, start, 0, 0, models{"m0"}, nil)
	vm := *b.members["0"].vm
	vm.ID, vm.Started = "new", 5
	if err := b.Apply(start, []fleet.Change{{Kind: fleet.Joined, VM: &vm}}); err != nil {
		t.Fatal(err)
	}
	if c := choose(t, b, start, Requirements{Model: "m0"}); c.VM.ID != "new" || !c.AgentReachable {
		t.Errorf("got %+v", c)
	}
}

// A server that lacks two of its registered models has restarted: the others are not
// tried one by one.
func TestServerThatLacksSeveralModelsIsBlocked(t *testing.T) {
	b := newBalancer(t, 1, "r0")
	vm := *b.members["0"].vm
	vm.Models = models{"m0", "m1", "m2"}
	if err := b.Apply(start, []fleet.Change{{Kind: fleet.Updated, VM: &vm}}); err != nil {
		t.Fatal(err)
	}
	b.ModelMissing(start, "0", "m0")
	if c := choose(t, b, start, Requirements{Model: "m2"}); c.VM.ID != "0" {
		t.Fatalf("got %+v", c)
	}
	b.ModelMissing(start, "0", "m1")
	if c, err := b.Choose(start, Requirements{Service: "models", Model: "m2"}); err == nil {
		t.Errorf("got %+v", c)
	}
}
