package sidecar

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore/memstore"
)

// The fencing token increases with each start, also if the store loses a response or
// applies a write late, and the previous owner is returned.
func TestFenceIncreasesDespiteStoreFaults(t *testing.T) {
	for name, f := range map[string]memstore.Faults{
		"healthy": {}, "lost response": {DropResponses: 1}, "late write": {LateWrites: 1, LateBy: time.Second},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := memstore.New(memstore.Options{})
			var last ident.Fence
			previous := ident.VM("")
			for i, vm := range []ident.VM{"a", "a", "b"} {
				s.SetFaults(f)
				fence, before, err := acquireOwnership(t.Context(), s, "10.0.0.1:80", owner{VM: vm, Incarnation: ident.Incarnation(i + 1)})
				if err != nil || fence <= last || before != previous {
					t.Fatalf("%s: start %d: fence %d after %d, before it %q, want %q, %v", name, i, fence, last, before, previous, err)
				}
				last, previous = fence, vm
			}
		})
	}
}
