package heldbytes

import (
	"cmp"

	"github.com/laureltally/laureltally/ident"
)

// Urgency orders requests: the priority of the tenant is compared first, then that of the
// route. Zero is the most urgent.
type Urgency struct{ Tenant, Route ident.Priority }

// Compare returns a negative number if u is more urgent than v, zero if both are equally
// urgent, and a positive number if u is less urgent.
func (u Urgency) Compare(v Urgency) int {
	return cmp.Or(cmp.Compare(u.Tenant, v.Tenant), cmp.Compare(u.Route, v.Route))
}
