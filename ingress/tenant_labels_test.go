package ingress

import (
	"fmt"
	"testing"

	"github.com/laureltally/laureltally/ident"
)

// Guards against metrics that grow with the tenants of a configuration, and against tenants
// that change their label.
func TestTenantLabelsAreBounded(t *testing.T) {
	var l tenantLabels
	labels := make(map[string]int)
	for range 2 {
		for i := range 10000 {
			labels[l.label(ident.Tenant(fmt.Sprint("t", i)))]++
		}
	}
	if len(labels) != maxTenantLabels+1 || labels["t0"] != 2 || labels[otherTenants] != 2*(10000-maxTenantLabels) {
		t.Errorf("%d labels, %d requests of others", len(labels), labels[otherTenants])
	}
}
