package allocation

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/metastore/memstore"
)

// fleet returns a list of two routers and n agents in three regions.
func fleet(n int) []metastore.VM {
	vms := []metastore.VM{{ID: "r0", Role: metastore.RoleRouter}, {ID: "r1", Role: metastore.RoleRouter}}
	for i := range n {
		region := ident.Region(fmt.Sprint("region", i%3))
		vms = append(vms, metastore.VM{ID: ident.VM(fmt.Sprint("vm", i)), Role: metastore.RoleAgent, Upstream: "u", Region: region, Zone: ident.Zone(region)})
	}
	return vms
}

func document(models, replicas int) config.Document {
	var d config.Document
	for i := range models {
		d.Models = append(d.Models, config.Model{Name: ident.Model(fmt.Sprint("m", i)), Upstream: "u", MaxReplicas: replicas})
	}
	return d
}

// withPlanners runs f in virtual time with one running planner on each of two
// routers.
func withPlanners(t *testing.T, f func(*memstore.Store, []*Planner)) {
	synctest.Test(t, func(t *testing.T) {
		store := memstore.New(memstore.Options{})
		ctx, cancel := context.WithCancel(t.Context())
		var planners []*Planner
		done := make(chan error)
		for i := range 2 {
			p, err := NewPlanner(Options{Environment: "env", Self: ident.VM(fmt.Sprint("r", i)), Incarnation: 1, Store: store, Rand: func() float64 { return 0.5 }})
			if err != nil {
				t.Fatal(err)
			}
			planners = append(planners, p)
			go func() { done <- p.Run(ctx) }()
		}
		defer func() {
			cancel()
			for range planners {
				if err := <-done; !errors.Is(err, context.Canceled) {
					t.Errorf("Run ended with %v", err)
				}
			}
		}()
		f(store, planners)
	})
}

func setInputs(planners []*Planner, version metastore.Version, d config.Document, vms []metastore.VM) {
	for _, p := range planners {
		p.SetDocument(version, d)
		p.SetVMs(vms)
	}
}

func TestSteadyStateMakesNoStoreCalls(t *testing.T) {
	withPlanners(t, func(store *memstore.Store, planners []*Planner) {
		const models, replicas = 140, 3
		setInputs(planners, 1, document(models, replicas), fleet(60))
		time.Sleep(time.Minute)
		for i := range models {
			if n := len(planners[1].Slots(ident.Model(fmt.Sprint("m", i)))); n != replicas {
				t.Fatalf("model %d has %d slots", i, n)
			}
		}
		before := store.Counters()
		for range 300 {
			setInputs(planners, 1, document(models, replicas), fleet(60))
			time.Sleep(time.Second)
		}
		after := store.Counters()
		if after.Writes != before.Writes || after.Reads != before.Reads || after.Watches != 2 {
			t.Errorf("store calls in steady state: before %+v, after %+v", before, after)
		}
		t.Logf("%d writes and %d reads for %d models", before.Writes, before.Reads, models)
	})
}

func TestPlannersConvergeAfterOutageAndWriteFaults(t *testing.T) {
	withPlanners(t, func(store *memstore.Store, planners []*Planner) {
		store.SetFaults(memstore.Faults{Outage: true})
		setInputs(planners, 1, document(10, 2), fleet(12))
		time.Sleep(time.Minute)
		store.SetFaults(memstore.Faults{DropResponses: 3, LateWrites: 3, LateBy: time.Minute, StaleMax: 5})
		time.Sleep(10 * time.Minute)
		for i := range 10 {
			if n := len(planners[0].Slots(ident.Model(fmt.Sprint("m", i)))); n != 2 {
				t.Errorf("model %d has %d slots", i, n)
			}
		}
	})
}

func TestSlotsOfRemovedVMsMoveAndThoseOfUnlistedVMsStay(t *testing.T) {
	withPlanners(t, func(store *memstore.Store, planners []*Planner) {
		a := Allocation{DocumentVersion: 1, Limit: 2, LastFence: 2, Slots: []Slot{{VM: "vm0", Fence: 1, State: Held}, {VM: "unseen", Fence: 2, State: Held}}}
		value, err := a.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := store.Put(t.Context(), Key("env", "m0"), value, 0); err != nil {
			t.Fatal(err)
		}
		setInputs(planners, 1, document(1, 2), fleet(3))
		time.Sleep(time.Minute)
		without := append(fleet(3)[:2:2], fleet(3)[3:]...)
		for range 60 {
			setInputs(planners, 1, document(1, 2), without)
			time.Sleep(time.Second)
		}
		slots := planners[0].Slots("m0")
		if len(slots) != 2 || slots[0].VM != "unseen" || slots[1].VM == "vm0" || slots[1].Fence <= 2 {
			t.Errorf("slots %+v", slots)
		}
	})
}

func TestPlan(t *testing.T) {
	vms := make(map[ident.VM]metastore.VM)
	for _, v := range fleet(6) {
		vms[v.ID] = v
	}
	vms["old"] = metastore.VM{ID: "old", Role: metastore.RoleAgent, Upstream: "u", Leaving: true}
	vms["other"] = metastore.VM{ID: "other", Role: metastore.RoleAgent, Upstream: "w"}
	in := Input{Model: "m", DocumentVersion: 5, Limit: 3, Upstream: "u", VMs: vms, Removed: func(v ident.VM) bool { return v == "gone" }}
	held := func(vm ident.VM, f ident.Fence) Slot { return Slot{VM: vm, Fence: f, State: Held} }
	revoking := func(vm ident.VM, f ident.Fence) Slot { return Slot{VM: vm, Fence: f, State: Revoking} }
	for name, c := range map[string]struct {
		start Allocation
		check func(Allocation, bool) bool
	}{
		"spreads over regions": {Allocation{}, func(a Allocation, _ bool) bool {
			regions := make(map[ident.Region]bool)
			for _, s := range a.Slots {
				regions[vms[s.VM].Region] = true
			}
			return len(a.Slots) == 3 && len(regions) == 3 && a.DocumentVersion == 5
		}},
		"leaves the allocation of a newer document unchanged": {Allocation{DocumentVersion: 6, Limit: 9}, func(a Allocation, changed bool) bool { return !changed && len(a.Slots) == 0 }},
		"lowers the limit by revoking only": {Allocation{Limit: 4, LastFence: 4, Slots: []Slot{held("vm0", 1), held("vm1", 2), held("vm2", 3), held("vm3", 4)}}, func(a Allocation, _ bool) bool {
			return len(a.Slots) == 4 && a.count(Revoking) == 1
		}},
		"adds no slot while there are more than the limit": {Allocation{Limit: 3, LastFence: 4, Slots: []Slot{revoking("old", 1), revoking("other", 2), revoking("unseen", 3), held("vm3", 4)}}, func(a Allocation, changed bool) bool {
			return !changed && len(a.Slots) == 4
		}},
		"revokes slots of leaving VMs and of other upstreams": {Allocation{Limit: 3, LastFence: 2, Slots: []Slot{held("old", 1), held("other", 2)}}, func(a Allocation, _ bool) bool {
			return a.Slots[0].State == Revoking && a.Slots[1].State == Revoking && len(a.Slots) == 3
		}},
		"restores slots with a new fencing token, except returned ones": {Allocation{Limit: 3, LastFence: 3, Slots: []Slot{revoking("vm0", 1), {VM: "vm1", Fence: 2, State: Revoking, Returned: true}, held("vm2", 3)}}, func(a Allocation, _ bool) bool {
			return a.Slots[0] == held("vm0", 4) && a.Slots[1].State == Revoking && len(a.Slots) == 3
		}},
		"replaces slots of removed VMs": {Allocation{Limit: 3, LastFence: 3, Slots: []Slot{held("gone", 1), held("vm1", 2), held("vm2", 3)}}, func(a Allocation, _ bool) bool {
			_, found := a.Slot("gone")
			return !found && len(a.Slots) == 3 && a.LastFence == 4
		}},
	} {
		t.Run(name, func(t *testing.T) {
			if a, changed := Plan(c.start, in); !c.check(a, changed) {
				t.Errorf("plan %+v, changed %v", a, changed)
			}
		})
	}
}

func TestReleaseRequiresRevokingSlot(t *testing.T) {
	a := Allocation{Slots: []Slot{{VM: "vm0", Fence: 3, State: Held}}}
	if _, ok := Release(a, "vm0", 3); ok {
		t.Error("held slot released")
	}
	a, ok := Revoke(a, "vm0", 3)
	if !ok || !a.Slots[0].Returned {
		t.Fatal("not revoked")
	}
	if _, ok := Release(a, "vm0", 2); ok {
		t.Error("slot released with a different fencing token")
	}
	if a, ok = Release(a, "vm0", 3); !ok || len(a.Slots) != 0 {
		t.Error("not released")
	}
}

func TestKeysRoundTrip(t *testing.T) {
	key := Key("env", "a/b ø")
	if m, ok := ModelFromKey("env", key); !ok || m != "a/b ø" {
		t.Errorf("got %q, %v", m, ok)
	}
	if _, ok := ModelFromKey("other", key); ok {
		t.Error("accepted a key of another environment")
	}
}

func TestListWithoutOwnVMIsIgnored(t *testing.T) {
	tracker := NewVMTracker("r0", time.Second, 0)
	now := time.Unix(1, 0)
	tracker.Update(fleet(1), now)
	if tracker.Update(nil, now.Add(time.Minute)) || tracker.Removed("vm0") {
		t.Error("VM removed by an empty list")
	}
	tracker.Update(fleet(0), now.Add(time.Minute))
	if tracker.Removed("vm0") {
		t.Error("VM removed after one list without it")
	}
	tracker.Update(fleet(0), now.Add(2*time.Minute))
	if !tracker.Removed("vm0") || tracker.Removed("never") {
		t.Error("Removed is wrong: vm0 must be removed, a VM never listed must not")
	}
}
