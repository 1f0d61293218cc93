package residency

import (
	"testing"
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
)

// All routers were restarted in a release. Callers resume streams, which only the engines of
// the old version can continue, while new requests for other rare models wait there too and
// would be due earlier. New requests have other engines.
func TestModelOfResumedStreamIsLoadedFirst(t *testing.T) {
	for _, resumed := range []bool{false, true} {
		h := newHarness(t, "a", "b")
		h.snap.Tiers["c"], h.snap.Tiers["d"] = engine.TierDisk, engine.TierDisk
		h.holdOrders = true
		// Both models in memory are in use, so that no order begins before all wait.
		h.reserve(Request{ID: 1, Model: "a"})
		h.reserve(Request{ID: 2, Model: "b"})
		h.reserve(Request{ID: 3, Model: "c", Objective: 500 * time.Millisecond, MaxWait: 10 * time.Second})
		h.reserve(Request{ID: 4, Model: "d", Objective: 2500 * time.Millisecond, MaxWait: 10 * time.Second, Resumed: resumed})
		want := ident.Model("c")
		if resumed {
			want = "d"
		}
		if got := h.scheduler.neededModels(h.now); len(got) != 2 || got[0] != want {
			t.Errorf("resumed %v: models are loaded in the order %v, want %s first", resumed, got, want)
		}
	}
}
