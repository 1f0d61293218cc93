package serving

import "github.com/laureltally/laureltally/ident"

// Tenant is a customer whose callers identify themselves with API keys.
type Tenant struct {
	Name ident.Tenant
	// Priority precedes the priority of the route: it is compared first.
	Priority  ident.Priority
	Allotment Allotment
}
