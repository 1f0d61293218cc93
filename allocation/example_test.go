package allocation_test

import (
	"fmt"

	"github.com/laureltally/laureltally/allocation"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
)

// Plan adds slots up to the limit of the configuration document. A slot above a
// lowered limit is revoked and remains until the VM that holds it releases it.
func ExamplePlan() {
	in := allocation.Input{
		Model:           "outlook-writer",
		DocumentVersion: 1,
		Limit:           2,
		NeedMB:          24000,
		Upstream:        "drafting",
		VMs: map[ident.VM]metastore.VM{
			"drafting-1": {ID: "drafting-1", Role: metastore.RoleAgent, Upstream: "drafting"},
			"drafting-2": {ID: "drafting-2", Role: metastore.RoleAgent, Upstream: "drafting"},
		},
		Removed: func(ident.VM) bool { return false },
	}
	a, _ := allocation.Plan(allocation.Allocation{}, in)
	fmt.Println("slots:", len(a.Slots), "last fence:", a.LastFence)

	in.DocumentVersion, in.Limit = 2, 1
	a, _ = allocation.Plan(a, in)
	for _, s := range a.Slots {
		if s.State == allocation.Revoking {
			var released bool
			a, released = allocation.Release(a, s.VM, s.Fence)
			fmt.Println("released:", released)
		}
	}
	fmt.Println("slots:", len(a.Slots), "limit:", a.Limit)
	// Output:
	// slots: 2 last fence: 2
	// released: true
	// slots: 1 limit: 1
}
