package residency

import (
	"testing"
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/wire"
)

// reported returns what the status says of a model.
func (h *harness) reported(name ident.Model) wire.ModelReport {
	h.t.Helper()
	for _, m := range h.scheduler.Status(h.now).Models {
		if m.Model == name {
			return m
		}
	}
	h.t.Fatalf("%s is not reported", name)
	return wire.ModelReport{}
}

// Load pattern: dozens of rare models, each requested now and then at any router, take turns
// on engines that have them on disk. A second request for a model that one waits for was sent
// to the engine with the shortest queue of swaps, which then swapped it in too. Routers are
// told that the model is coming, and when.
func TestRoutersAreToldOfModelsThatRequestsWaitFor(t *testing.T) {
	h := newHarness(t, "a", "b")
	h.snap.Tiers["c"], h.snap.Tiers["d"] = engine.TierDisk, engine.TierDisk
	h.observe()
	h.holdOrders = true
	if got := h.reported("c"); got.Phase != "" {
		t.Errorf("without a request: %+v", got)
	}
	// Both models in memory are in use.
	h.reserve(Request{ID: 1, Model: "a"})
	h.reserve(Request{ID: 2, Model: "b"})
	h.reserve(Request{ID: 3, Model: "c", Objective: 3 * time.Second})
	h.reserve(Request{ID: 4, Model: "d", Objective: 4 * time.Second})
	c, d := h.reported("c"), h.reported("d")
	if c.Phase != engine.PhaseLoading || d.Phase != engine.PhaseLoading || c.ReadyIn < time.Second || d.ReadyIn < c.ReadyIn+time.Second {
		t.Errorf("while requests wait: %+v, %+v", c, d)
	}
	h.apply(h.scheduler.Release(h.now, 3, Outcome{}))
	if got := h.reported("c"); got.Phase != "" {
		t.Errorf("after the request ended: %+v", got)
	}
}
