package serving

import "github.com/laureltally/laureltally/ident"

// Tenant is a customer whose callers identify themselves with API keys.
type Tenant struct {
	Name ident.Tenant
	// Priority precedes the priority of the route: it is compared first.
	Priority  ident.Priority
	Allotment Allotment
}

// requestTokens is the cost of a usual request in tokens. It makes allotments in requests
// comparable to those in tokens where the tenants of an installation have both.
const requestTokens = 1000

// Rate returns the tenant's allotment in tokens a second, for comparison with those of other
// tenants. It is zero without a limit and for a nil tenant.
func (t *Tenant) Rate() float64 {
	switch {
	case t == nil || !t.Allotment.Limited():
		return 0
	case t.Allotment.Tokens:
		return t.Allotment.PerSecond
	}
	return requestTokens * t.Allotment.PerSecond
}
