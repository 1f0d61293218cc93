package serving

import (
	"testing"

	"github.com/laureltally/laureltally/ident"
)

// Guards against an order at the engines that contradicts the priorities: a route must not
// come before another one of a more urgent tenant.
func TestUrgencyComparesTenantsFirst(t *testing.T) {
	last := 0
	for tenant := range ident.Priority(12) {
		for route := range ident.Priority(12) {
			u := UrgencyOf(tenant, route)
			if !u.Known || u.Level < last || u.Level > 9 {
				t.Fatalf("tenant %d, route %d: %+v after level %d", tenant, route, u, last)
			}
			last = u.Level
		}
	}
	if first, second := UrgencyOf(0, 0), UrgencyOf(0, 1); first.Level != 0 || second.Level != 1 {
		t.Errorf("levels %d and %d of the most urgent routes", first.Level, second.Level)
	}
	if u := UrgencyOf(-1, -1); u.Level != 0 {
		t.Errorf("negative priorities: %+v", u)
	}
}
