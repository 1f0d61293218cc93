package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/laureltally/laureltally/allocation"
	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/memory"
)

// BenchmarkAcquireLoadedModel acquires and releases a lease on a loaded model
// while the VM has slots for 140 models.
func BenchmarkAcquireLoadedModel(b *testing.B) {
	now := time.Unix(1000, 0)
	m := newMachine(machineOptions{spec: simSpec, policy: simPolicy{}, memoryMB: simMemoryMB}, now)
	slots := make(map[ident.Model]allocation.Slot)
	for i := range 140 {
		slots[ident.Model(fmt.Sprint("m", i))] = allocation.Slot{VM: "vm", Fence: 1, State: allocation.Held}
	}
	m.barrierWritten(1)
	m.applyListing(1, slots, now)
	m.handleState(engine.State{Models: []engine.ModelState{{Model: "m7", Phase: engine.PhaseLoaded}}}, now, now)
	k := memory.Key{Model: "m7"}
	for b.Loop() {
		m.acquire(Requirements{Model: "m7"}, now)
		if len(m.takeActions()) != 1 {
			b.Fatal("no lease")
		}
		m.released(k, now)
	}
}
