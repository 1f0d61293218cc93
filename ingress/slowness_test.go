package ingress

import (
	"testing"
	"time"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/fleet"
	"github.com/laureltally/laureltally/serving"
)

// A router tells sidecars that servers of their service state a slowness only while that is
// recent, and not of other services: there everything is as without the figure.
func TestStatedSlownessIsRememberedByService(t *testing.T) {
	c, err := newClusterState(config.IngressSettings{}, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(1000, 0)
	vm := &fleet.VM{ID: "i-1", Service: "models"}
	c.observeResponse(now, vm, &serving.ResponseInfo{HasLoad: true, Load: serving.Load{Concurrency: 4}})
	if c.slownessStated(now, "models") {
		t.Error("stated by three figures")
	}
	c.observeResponse(now, vm, &serving.ResponseInfo{HasLoad: true, Load: serving.Load{Concurrency: 4, Slowness: 1}})
	if !c.slownessStated(now.Add(slownessStatedTTL-1), "models") {
		t.Error("forgotten too soon")
	}
	if c.slownessStated(now, "portal") || c.slownessStated(now.Add(slownessStatedTTL), "models") {
		t.Error("remembered for another service or too long")
	}
}
