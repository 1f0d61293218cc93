package ingress

import (
	"testing"
	"time"

	"github.com/laureltally/laureltally/placement"
	"github.com/laureltally/laureltally/serving"
)

// Guards against an engine's queue that can't tell tenants apart, or that serves requests
// nobody waits for any more.
func TestReserveStatesTenantAndTimeLeft(t *testing.T) {
	now := time.Unix(1000, 0)
	d := &delivery{s: &Server{}, route: &serving.Route{Objective: time.Second}, start: now, deadline: now.Add(8 * time.Second)}
	if m := d.reserveMessage(now.Add(time.Second), placement.Choice{Readiness: placement.Loaded}); m.Tenant != "" || m.Deadline != 7*time.Second {
		t.Errorf("without a tenant: %+v", m)
	}
	d.tenant = &serving.Tenant{Name: "t1"}
	if m := d.reserveMessage(now, placement.Choice{Readiness: placement.Loaded}); m.Tenant != "t1" {
		t.Errorf("tenant %q", m.Tenant)
	}
}
