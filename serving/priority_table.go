package serving

import (
	"cmp"
	"slices"

	"github.com/laureltally/laureltally/ident"
)

// priorityRanks is the number of ranks of a PriorityTable. Engines tell as many apart.
const priorityRanks = 10

// PriorityTable orders requests by the priority of their tenant first and that of their
// route second. Ranks are dense, from 0, the most urgent, to priorityRanks-1: where more
// combinations occur in a configuration, neighbors share a rank. It is immutable.
type PriorityTable struct {
	// tenants and routes hold the priorities that occur, ascending. Tenants is empty
	// without tenants.
	tenants, routes []ident.Priority
}

// NewPriorityTable returns the table of a configuration.
func NewPriorityTable(c *Config) *PriorityTable {
	t := &PriorityTable{}
	if c.Keys == nil {
		return t
	}
	t.tenants = c.Keys.priorities()
	for i := range c.Routes {
		t.routes = append(t.routes, c.Routes[i].Priority)
	}
	slices.Sort(t.routes)
	t.routes = slices.Compact(t.routes)
	return t
}

// Of returns the priority of a request. Without tenants it is the route's own. A request
// without a tenant, at a public route, ranks with the least urgent tenant, so that callers
// gain nothing by leaving out their key.
func (t *PriorityTable) Of(tenant *Tenant, r *Route) ident.Priority {
	if len(t.tenants) == 0 {
		return r.Priority
	}
	major := len(t.tenants) - 1
	if tenant != nil {
		major = position(t.tenants, tenant.Priority)
	}
	rank, ranks := major*len(t.routes)+position(t.routes, r.Priority), len(t.tenants)*len(t.routes)
	if ranks > priorityRanks {
		rank = rank * priorityRanks / ranks
	}
	return ident.Priority(rank)
}

// position returns the number of lower priorities in an ascending list.
func position(all []ident.Priority, p ident.Priority) int {
	n, _ := slices.BinarySearchFunc(all, p, cmp.Compare[ident.Priority])
	return min(n, len(all)-1)
}
