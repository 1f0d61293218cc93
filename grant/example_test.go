package grant_test

import (
	"fmt"

	"github.com/laureltally/laureltally/grant"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
)

// A plan gives slots up to the limit of the document. A slot over a lowered
// limit is revoked and stays until its holder frees it.
func ExamplePlan() {
	in := grant.Input{
		Model:    "outlook-writer",
		Document: 1,
		Limit:    2,
		NeedMB:   24000,
		Upstream: "drafting",
		VMs: map[ident.VM]metastore.VM{
			"drafting-1": {ID: "drafting-1", Role: metastore.RoleAgent, Upstream: "drafting"},
			"drafting-2": {ID: "drafting-2", Role: metastore.RoleAgent, Upstream: "drafting"},
		},
		Gone: func(ident.VM) bool { return false },
	}
	g, _ := grant.Plan(grant.Grant{}, in)
	fmt.Println("slots:", len(g.Slots), "last fence:", g.Last)

	in.Document, in.Limit = 2, 1
	g, _ = grant.Plan(g, in)
	for _, s := range g.Slots {
		if s.State == grant.Revoking {
			var released bool
			g, released = grant.Release(g, s.VM, s.Fence)
			fmt.Println("released:", released)
		}
	}
	fmt.Println("slots:", len(g.Slots), "limit:", g.Limit)
	// Output:
	// slots: 2 last fence: 2
	// released: true
	// slots: 1 limit: 1
}
