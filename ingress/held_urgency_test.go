package ingress

import (
	"testing"

	"github.com/laureltally/laureltally/heldbytes"
	"github.com/laureltally/laureltally/serving"
)

// Guards against slow readers of an urgent tenant that are disconnected before those of a less
// urgent one because of their routes.
func TestHeldUrgencyFollowsTheTenantFirst(t *testing.T) {
	d := &delivery{route: &serving.Route{Priority: 2}}
	if got := d.heldUrgency(); got != (heldbytes.Urgency{Route: 2}) {
		t.Errorf("without a tenant: %+v", got)
	}
	d.tenant = &serving.Tenant{Name: "t1", Priority: 1}
	other := &delivery{route: &serving.Route{}, tenant: &serving.Tenant{Name: "t2", Priority: 3}}
	if d.heldUrgency().Compare(other.heldUrgency()) >= 0 {
		t.Errorf("%+v is no more urgent than %+v", d.heldUrgency(), other.heldUrgency())
	}
}
