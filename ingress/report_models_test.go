package ingress

import (
	"testing"
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/fleet"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/placement"
	"github.com/laureltally/laureltally/serving"
	"github.com/laureltally/laureltally/wire"
)

// An engine restarts under another id beside a sidecar that keeps running and reports
// only changes: the router must know all models of the new id from its first report.
func TestRestartedEngineIsCompleteFromChanges(t *testing.T) {
	state := testClusterState(t)
	e := &serving.Engine{MemoryMB: 100, Concurrency: 8, Models: []serving.Model{{Name: "m0", MemoryMB: 40}, {Name: "m1", MemoryMB: 40}}}
	e.Index()
	state.setServices(map[ident.Upstream]*serving.Service{"models": {Name: "models", Engine: e}})
	const address = "10.0.0.1:80"
	now := time.Unix(1000, 0)
	applyVMs := func(id ident.VM) {
		if _, err := state.applyVMs(now, now, fleet.Listing{VMs: []fleet.VM{{ID: id, Address: address, Service: "models", Region: "r", Zone: "z", Concurrency: 8}}}); err != nil {
			t.Fatal(err)
		}
	}
	applyVMs("old")
	var stream reportModels
	report := func(r *wire.Report) {
		r.Concurrency = 8
		stream.complete(r)
		state.report(now, address, r, 0)
	}
	report(&wire.Report{Models: []wire.ModelReport{{Model: "m0", Phase: engine.PhaseLoaded, Tier: engine.TierDisk}}})
	now = now.Add(time.Second)
	applyVMs("new")
	report(&wire.Report{ModelsDelta: true, Models: []wire.ModelReport{{Model: "m1", Phase: engine.PhaseLoaded, Tier: engine.TierDisk}}})
	for _, model := range []ident.Model{"m0", "m1"} {
		c, err := state.choose(now, placement.Requirements{Service: "models", Model: model, Remaining: time.Second})
		if err != nil || c.VM.ID != "new" || !c.AgentReachable || c.Readiness != placement.Loaded {
			t.Errorf("%s: got %+v, %v", model, c, err)
		}
	}
}
