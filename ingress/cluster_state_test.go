package ingress

import (
	"testing"
	"time"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/fleet"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/placement"
	"github.com/laureltally/laureltally/wire"
)

// testClusterState returns the state of a router without VMs.
func testClusterState(t *testing.T) *clusterState {
	t.Helper()
	state, err := newClusterState(config.IngressSettings{Region: "r", Zone: "z", SidecarPort: 7000, RetryShare: 0.2, RetrySlack: 50}, time.Second)
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
	if _, err := state.applyVMs(now, now, fleet.Listing{VMs: []fleet.VM{vm("old", "10.0.0.1:80"), vm("new", "10.0.0.1:80"), vm("other", "10.0.0.2:80")}}); err != nil {
		t.Fatal(err)
	}
	chosen := vm("old", "10.0.0.1:80")
	for id, want := range map[ident.VM]ident.VM{"": "old", "old": "old", "new": "new", "other": "", "unknown": ""} {
		got := ident.VM("")
		if v := state.reservedVM(&chosen, id, 0, &placement.Requirements{}); v != nil {
			got = v.ID
		}
		if got != want {
			t.Errorf("reservation at %q: sent to %q, want %q", id, got, want)
		}
	}
}

// Deployments that allow changes more time have longer polling intervals. The normal time
// between two lists is no outage, during which missing VMs would be kept and get requests.
func TestRemovedVMIsDroppedAtAnyPollingInterval(t *testing.T) {
	for _, interval := range []time.Duration{time.Second, 2 * time.Second, 2500 * time.Millisecond, 6 * time.Second} {
		state, err := newClusterState(config.IngressSettings{Region: "r", Zone: "z", SidecarPort: 7000, RetryShare: 0.2}, interval)
		if err != nil {
			t.Fatal(err)
		}
		vm := fleet.VM{ID: "a", Address: "10.0.0.1:80", Service: "portal", Region: "r", Zone: "z", Concurrency: 8}
		now := time.Unix(1000, 0)
		for _, listed := range [][]fleet.VM{{vm}, {vm}, nil} {
			now = now.Add(interval + 100*time.Millisecond)
			if _, err := state.applyVMs(now, now, fleet.Listing{VMs: listed}); err != nil {
				t.Fatal(err)
			}
		}
		if state.usable(now, &vm) {
			t.Errorf("polled every %v: a VM that is gone from the list is still used", interval)
		}
	}
}

// A server that restarted under its id may have another software version than the list has.
// A list without start times does not tell.
func TestReservationAtServerWithUnlistedStart(t *testing.T) {
	state := testClusterState(t)
	for _, tc := range []struct {
		listed, started int64
		usable          bool
	}{{5, 5, true}, {5, 0, true}, {0, 7, true}, {5, 7, false}} {
		chosen := fleet.VM{ID: "a", Address: "10.0.0.1:80", Service: "models", Started: tc.listed}
		if got := state.reservedVM(&chosen, "a", tc.started, &placement.Requirements{}) != nil; got != tc.usable {
			t.Errorf("listed start %d, start %d: usable %v", tc.listed, tc.started, got)
		}
	}
}

// An upstream fails after a quiet time: every router of a small and of a large
// deployment may find all of its saved retries unused, and uses them within one window.
func TestRoutersShareTheRetryBudget(t *testing.T) {
	const window = 10 * time.Second
	for _, d := range []struct {
		routers int
		slack   float64
	}{{4, 52}, {30, 100}, {68, 176}} {
		state, err := newClusterState(config.IngressSettings{
			Region: "r", Zone: "z", SidecarPort: 7000, RetryShare: 0.2, RetrySlack: d.slack, RetryWindow: config.Duration(window),
		}, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		now := time.Unix(1000, 0)
		if _, err := state.applyVMs(now, now, fleet.Listing{VMs: []fleet.VM{{ID: "a", Address: "10.0.0.1:80", Service: "models", Region: "r", Zone: "z", Concurrency: 8}}}); err != nil {
			t.Fatal(err)
		}
		report := func() {
			state.report(now, "10.0.0.1:80", &wire.Report{Concurrency: 8, Routers: d.routers, MaxReportInterval: time.Second}, 0)
		}
		report()
		state.takeRetry(now, "models")
		now = now.Add(time.Hour)
		retries := 0
		for end := now.Add(window); now.Before(end); now = now.Add(50 * time.Millisecond) {
			report()
			for state.takeRetry(now, "models") {
				retries++
			}
		}
		if total := float64(retries * d.routers); total > d.slack || total < d.slack/4 {
			t.Errorf("%d routers make %v retries in %v, allowed are %v", d.routers, total, window, d.slack)
		}
	}
}
