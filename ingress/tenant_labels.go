package ingress

import (
	"sync"

	"github.com/laureltally/laureltally/ident"
)

const (
	// maxTenantLabels is the number of tenants that have metrics of their own: each takes
	// memory for every status that its requests end with.
	maxTenantLabels = 64
	// otherTenants labels the metrics of all further tenants together.
	otherTenants = "(others)"
)

// tenantLabels assigns metric labels to the first tenants that have requests. The zero
// value has none. It is safe for concurrent use.
type tenantLabels struct {
	mu    sync.Mutex
	named map[ident.Tenant]bool
}

// label returns the tenant's name, or otherTenants.
func (l *tenantLabels) label(t ident.Tenant) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.named[t] {
		return string(t)
	}
	if len(l.named) >= maxTenantLabels {
		return otherTenants
	}
	if l.named == nil {
		l.named = make(map[ident.Tenant]bool)
	}
	l.named[t] = true
	return string(t)
}
