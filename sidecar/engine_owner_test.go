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
				o, err := acquireOwnership(t.Context(), s, "10.0.0.1:80", owner{VM: vm, Incarnation: ident.Incarnation(i + 1)})
				if err != nil || o.fence <= last || o.replaced.VM != previous {
					t.Fatalf("%s: start %d: fence %d after %d, before it %q, want %q, %v", name, i, o.fence, last, o.replaced.VM, previous, err)
				}
				last, previous = o.fence, vm
			}
		})
	}
}

// The store is restored from a copy made before a sidecar's record, or after another
// sidecar's: the owner writes its record again, a superseded one does not.
func TestOwnerWritesItsRecordAgainAfterRestore(t *testing.T) {
	const address = "10.0.0.1:80"
	first, second, third := owner{VM: "a", Incarnation: 1}, owner{VM: "b", Incarnation: 2}, owner{VM: "c", Incarnation: 3}
	for name, tc := range map[string]struct {
		copied *owner
		want   recordState
		holds  owner
	}{
		"kept":                     {&second, recordKept, second},
		"lost":                     {nil, recordRewritten, second},
		"record of the one before": {&first, recordRewritten, second},
		"record of a later one":    {&third, recordSuperseded, third},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, s := t.Context(), memstore.New(memstore.Options{})
			if _, err := acquireOwnership(ctx, s, address, first); err != nil {
				t.Fatal(err)
			}
			o, err := acquireOwnership(ctx, s, address, second)
			if err != nil {
				t.Fatal(err)
			}
			restored := memstore.New(memstore.Options{})
			if tc.copied != nil {
				if _, err := writeOwner(ctx, restored, ownerKey(address), *tc.copied, 0); err != nil {
					t.Fatal(err)
				}
			}
			state, err := restoreOwnership(ctx, restored, address, second, o)
			if err != nil || state != tc.want {
				t.Errorf("state %q, want %q, %v", state, tc.want, err)
			}
			if got, err := readOwner(ctx, restored, ownerKey(address)); err != nil || got.owner != tc.holds {
				t.Errorf("the record names %+v, want %+v, %v", got.owner, tc.holds, err)
			}
		})
	}
}
