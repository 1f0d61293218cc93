package serving

import (
	"testing"

	"github.com/laureltally/laureltally/ident"
)

func tableOf(tenants []ident.Priority, routes ...ident.Priority) (*PriorityTable, map[ident.Priority]*Tenant, map[ident.Priority]*Route) {
	c := &Config{}
	byTenant, byRoute := make(map[ident.Priority]*Tenant), make(map[ident.Priority]*Route)
	for _, p := range tenants {
		if c.Keys == nil {
			c.Keys = NewKeyTable()
		}
		byTenant[p] = &Tenant{Priority: p}
		c.Keys.Add(string(rune('a'+p)), byTenant[p])
	}
	for _, p := range routes {
		c.Routes = append(c.Routes, Route{Priority: p})
	}
	for i := range c.Routes {
		byRoute[c.Routes[i].Priority] = &c.Routes[i]
	}
	return NewPriorityTable(c), byTenant, byRoute
}

// Guards against a route's priority that outweighs its tenant's.
func TestTenantPriorityPrecedesRoutePriority(t *testing.T) {
	table, tenants, routes := tableOf([]ident.Priority{0, 1, 40}, 0, 2, 2, 7)
	last := ident.Priority(-1)
	for _, tenant := range []ident.Priority{0, 1, 40} {
		for _, route := range []ident.Priority{0, 2, 7} {
			p := table.Of(tenants[tenant], routes[route])
			if p <= last || p >= priorityRanks {
				t.Errorf("tenant %d, route %d: priority %d after %d", tenant, route, p, last)
			}
			last = p
		}
	}
}

// Guards against ranks that leave the range that engines know, or that change the order,
// where there are more combinations than ranks.
func TestManyPrioritiesShareRanks(t *testing.T) {
	table, tenants, routes := tableOf([]ident.Priority{0, 1, 2, 3, 4}, 0, 1, 2, 3, 4)
	last := ident.Priority(0)
	for tenant := range ident.Priority(5) {
		for route := range ident.Priority(5) {
			p := table.Of(tenants[tenant], routes[route])
			if p < last || p >= priorityRanks {
				t.Errorf("tenant %d, route %d: priority %d after %d", tenant, route, p, last)
			}
			last = p
		}
	}
	if last != priorityRanks-1 {
		t.Errorf("the least urgent rank is %d", last)
	}
}

// Guards against callers who become more urgent when they leave out their key.
func TestRequestWithoutTenantRanksLast(t *testing.T) {
	table, tenants, routes := tableOf([]ident.Priority{1, 3}, 0, 1)
	if got, want := table.Of(nil, routes[1]), table.Of(tenants[3], routes[1]); got != want {
		t.Errorf("priority %d, that of the least urgent tenant is %d", got, want)
	}
}

// Guards against other priorities in installations without tenants.
func TestWithoutTenantsTheRouteDecides(t *testing.T) {
	table, _, routes := tableOf(nil, 0, 17)
	if got := table.Of(nil, routes[17]); got != 17 {
		t.Errorf("got %d", got)
	}
}
