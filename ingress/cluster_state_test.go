package ingress

import (
	"testing"
	"time"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/fleet"
	"github.com/laureltally/laureltally/ident"
)

// testClusterState returns the state of a router without VMs.
func testClusterState(t *testing.T) *clusterState {
	t.Helper()
	state, err := newClusterState(config.IngressSettings{Region: "r", Zone: "z", SidecarPort: 7000, RetryShare: 0.2, RetrySlack: 50})
	if err != nil {
		t.Fatal(err)
	}
	return state
}

// A restarted engine has a new id at its old address, and the list has both for some
// seconds. Requests that waited for a reservation were sent to the old id and
// declined.
func TestReservationUsesIDReportedBySidecar(t *testing.T) {
	state := testClusterState(t)
	vm := func(id ident.VM, address string) fleet.VM {
		return fleet.VM{ID: id, Address: address, Service: "models", Region: "r", Zone: "z", Concurrency: 8}
	}
	now := time.Unix(1000, 0)
	if _, err := state.applyVMs(now, now, []fleet.VM{vm("old", "10.0.0.1:80"), vm("new", "10.0.0.1:80"), vm("other", "10.0.0.2:80")}); err != nil {
		t.Fatal(err)
	}
	chosen := vm("old", "10.0.0.1:80")
	for id, want := range map[ident.VM]ident.VM{"": "old", "old": "old", "new": "new", "other": "", "unknown": ""} {
		got := ident.VM("")
		if v := state.reservedVM(&chosen, id); v != nil {
			got = v.ID
		}
		if got != want {
			t.Errorf("reservation at %q: sent to %q, want %q", id, got, want)
		}
	}
}
