package ingress

import (
	"testing"
	"time"

	"github.com/laureltally/laureltally/fleet"
	"github.com/laureltally/laureltally/placement"
	"github.com/laureltally/laureltally/serving"
)

// Guards against an engine's queue that can't tell tenants apart, or that serves requests
// nobody waits for any more.
func TestReserveStatesTenantAndTimeLeft(t *testing.T) {
	now := time.Unix(1000, 0)
	d := &delivery{s: &Server{clusterState: &clusterState{}}, route: &serving.Route{Objective: time.Second}, start: now, deadline: now.Add(8 * time.Second)}
	choice := placement.Choice{VM: &fleet.VM{}, Readiness: placement.Loaded}
	if m := d.reserveMessage(now.Add(time.Second), choice); m.Tenant != "" || m.Deadline != 7*time.Second {
		t.Errorf("without a tenant: %+v", m)
	}
	d.tenant = &serving.Tenant{Name: "t1"}
	if m := d.reserveMessage(now, choice); m.Tenant != "t1" {
		t.Errorf("tenant %q", m.Tenant)
	}
}
