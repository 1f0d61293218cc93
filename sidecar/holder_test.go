package sidecar

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore/memstore"
)

// The fence rises with each start, through lost and late answers of the store,
// and the VM that was recorded before is told.
func TestFenceRisesThroughFaultsOfTheStore(t *testing.T) {
	for name, f := range map[string]memstore.Faults{
		"healthy": {}, "lost answer": {LoseAnswers: 1}, "late write": {LateWrites: 1, LateBy: time.Second},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := memstore.New(memstore.Options{})
			var last ident.Fence
			previous := ident.VM("")
			for i, vm := range []ident.VM{"a", "a", "b"} {
				s.SetFaults(f)
				fence, before, err := claim(t.Context(), s, "10.0.0.1:80", holder{VM: vm, Incarnation: ident.Incarnation(i + 1)})
				if err != nil || fence <= last || before != previous {
					t.Fatalf("%s: start %d: fence %d after %d, before it %q, want %q, %v", name, i, fence, last, before, previous, err)
				}
				last, previous = fence, vm
			}
		})
	}
}
