package residency

import (
	"testing"
	"time"

	"github.com/laureltally/laureltally/ident"
)

// Guards against a change for installations without tenants: the actions of a recorded
// sequence with a full queue, swaps of rare models and expired requests are those of the
// code before the order of waiting requests.
func TestOrderIsUnchangedWithoutTenants(t *testing.T) {
	kinds := []*simKind{
		{name: "urgent", model: "a", objective: 600 * time.Millisecond, deadline: 10 * time.Second, prompt: 1200, run: 1500 * time.Millisecond, perSecond: constantly(12)},
		{name: "tolerant", model: "c", priority: 2, objective: 4 * time.Second, deadline: 22 * time.Second, prompt: 2500, run: 2 * time.Second, perSecond: constantly(2)},
		{name: "rare", model: "d", priority: 1, objective: 3 * time.Second, deadline: 20 * time.Second, prompt: 800, run: time.Second, perSecond: constantly(0.4)},
	}
	const recorded = 0x393364bef3d00083
	if m := simulated(7, simEngine(), []ident.Model{"a", "b"}, kinds, 60*time.Second); m.digest != recorded {
		for name, c := range m.counts {
			t.Logf("%s: %+v", name, *c)
		}
		t.Errorf("digest %#x after %v", m.digest, m.refusal)
	}
}
