package residency

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
)

// Guards against an engine that is overloaded by an order from before its restart: it got no
// answer, and is carried out when the engine, under the same id, has accepted as many orders again.
func TestLateOrderFromBeforeARestartFits(t *testing.T) {
	h := newHarness(t, "a", "b")
	h.snap.Tiers["c"], h.snap.Tiers["d"] = engine.TierDisk, engine.TierDisk
	h.observe()
	h.reserve(Request{ID: 1, Model: "c"})
	h.advance(time.Second)
	h.apply(h.scheduler.Release(h.now, 1, Outcome{}))
	h.advance(time.Second)
	// Room for d is made, and its load gets no answer.
	h.reserve(Request{ID: 2, Model: "d"})
	h.holdOrders = true
	h.advance(200 * time.Millisecond)
	late := h.orders[len(h.orders)-1]
	h.scheduler.OrderAnswered(h.now, OrderUnanswered)
	h.apply(h.scheduler.Release(h.now, 2, Outcome{}))
	if late.Kind != engine.OrderLoad || late.ExpectedAccepted != 3 {
		t.Fatalf("last order %+v", late)
	}
	h.snap.Started, h.snap.Accepted = 7, 0
	clear(h.snap.Loaded)
	h.holdOrders = false
	h.observe()
	for id, r := range []Request{{Model: "a"}, {Model: "b"}, {Model: "b", Adapter: "x"}} {
		r.ID = RequestID(id + 10)
		h.reserve(r)
		h.advance(time.Second)
		if h.snap.Accepted == late.ExpectedAccepted {
			// It fails the test if the engine is overloaded.
			h.execute(late)
		}
	}
	if !slices.Contains(h.granted, 10) || !slices.Contains(h.granted, 11) {
		t.Errorf("granted %v", h.granted)
	}
	// The late order is no longer carried out.
	h.advance(lateOrderTimeout)
	h.reserve(Request{ID: 20, Model: "b", Adapter: "x"})
	h.advance(time.Second)
	if !slices.Contains(h.granted, 20) {
		t.Errorf("granted %v", h.granted)
	}
}

// Guards against the same for any orders: some get no answer, and are carried out up to twelve
// seconds later or never, over restarts of the engine under its id and of the sidecar, which is
// told what got no answer.
func TestLateOrdersNeverOverloadTheEngine(t *testing.T) {
	names := []ident.Model{"a", "b", "c", "d", "e"}
	model, adapter := rapid.SampledFrom(names), rapid.SampledFrom([]ident.Adapter{"", "x", "y", "z"})
	rapid.Check(t, func(rt *rapid.T) {
		sim := newConfigSim(names)
		sim.answered = func() bool { return rapid.IntRange(0, 2).Draw(rt, "answered") > 0 }
		id := RequestID(0)
		for range rapid.IntRange(10, 80).Draw(rt, "steps") {
			switch rapid.IntRange(0, 9).Draw(rt, "step") {
			case 0, 1, 2:
				id++
				sim.apply(sim.scheduler.Reserve(sim.now, Request{ID: id, Model: model.Draw(rt, "model"), Adapter: adapter.Draw(rt, "adapter"), MaxWait: 8 * time.Second, CacheTokens: 100}))
			case 3, 4:
				sim.release(id)
			case 5:
				sim.restart()
			case 9:
				sim.restartSidecar()
				if rapid.Bool().Draw(rt, "engine too") {
					sim.restart()
				}
			case 6:
				if len(sim.late) > 0 {
					sim.carryOut(rapid.IntRange(0, len(sim.late)-1).Draw(rt, "late"))
				}
			default:
				sim.advance(rapid.SampledFrom([]time.Duration{100 * time.Millisecond, time.Second, 3 * time.Second}).Draw(rt, "pause"))
			}
			if used, slots := sim.usedMB(), sim.usedSlots(); used > 100 || slots > 2 {
				rt.Fatalf("%.0f MB and %d adapters loaded: %v", used, slots, sim.snap.Loaded)
			}
		}
	})
}
