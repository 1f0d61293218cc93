package ingress

import (
	"testing"
	"time"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/fleet"
	"github.com/laureltally/laureltally/ident"
)

// testBelief is a router's that knows nothing yet.
func testBelief(t *testing.T) *belief {
	t.Helper()
	b, err := newBelief(config.IngressSettings{Region: "r", Zone: "z", SidecarPort: 7000, RetryShare: 0.2, RetrySlack: 50})
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// An engine that starts anew has a new id at its old address, and the list has both
// for some seconds. Requests that waited for a place were sent to the old id and
// declined.
func TestPlaceIsAtTheIDThatTheSidecarNames(t *testing.T) {
	b := testBelief(t)
	vm := func(id ident.VM, address string) fleet.VM {
		return fleet.VM{ID: id, Address: address, Service: "models", Region: "r", Zone: "z", Concurrency: 8}
	}
	now := time.Unix(1000, 0)
	if _, err := b.listed(now, now, []fleet.VM{vm("old", "10.0.0.1:80"), vm("new", "10.0.0.1:80"), vm("other", "10.0.0.2:80")}); err != nil {
		t.Fatal(err)
	}
	chosen := vm("old", "10.0.0.1:80")
	for id, want := range map[ident.VM]ident.VM{"": "old", "old": "old", "new": "new", "other": "", "unknown": ""} {
		got := ident.VM("")
		if v := b.vmOfPlace(&chosen, id); v != nil {
			got = v.ID
		}
		if got != want {
			t.Errorf("place at %q: sent to %q, want %q", id, got, want)
		}
	}
}
