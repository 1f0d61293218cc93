package hosted

import (
	"net/http"
	"testing"
	"time"

	"github.com/laureltally/laureltally/platform/platformtest"
)

// Rules CONFIG and DRAIN across a restore: the store comes back from a copy that lacks the
// newest configuration and a VM's drain. What is in force stays so, and what the operator
// writes afterwards is applied although its revision may be lower.
func TestRestoredStoreTakesNothingBack(t *testing.T) {
	t.Parallel()
	in, upstreams := newPlainInstallation(t, platformtest.UpstreamOptions{})
	copied := in.store.Copy()
	c := writePlainConfig(in, 1)
	for i := range 5 {
		// Revisions run ahead of those that the restored store will issue.
		c.Version = 2 + i
		c.Routes[0].Prefix = "/added/"
		c.Write(in.store)
	}
	upstreams[0].Register(in.store, "draining")
	served := func(path string) bool {
		return in.call(platformtest.Call{Path: path}).Status == http.StatusOK
	}
	in.eventually("the new route is served", func() bool { return served("/added/a") })
	time.Sleep(time.Second)
	n := upstreams[0].RequestCount()
	in.store.Restore(copied)
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if !served("/added/a") {
			t.Fatal("the configuration in force went back with the store")
		}
	}
	if got := upstreams[0].RequestCount(); got != n {
		t.Errorf("the draining VM got %d requests after the restore", got-n)
	}
	upstreams[0].Register(in.store, "draining")
	c.Version = 20
	c.Routes[0].Prefix = "/later/"
	c.Write(in.store)
	in.eventually("a configuration written after the restore is applied", func() bool { return served("/later/a") })
}

// Rule ONE across a restore: the fence of a sidecar that starts after the restore is higher
// than that of its predecessor, although the store issues lower revisions.
func TestFenceRisesAcrossRestore(t *testing.T) {
	t.Parallel()
	e := newEngines(t, 1, 100*time.Millisecond)
	copied := e.store.Copy()
	e.stops[0]()
	e.awaitPort("127.0.0.11")
	stop := e.startSidecar(e.upstreams[0], "models", "side-0")
	order := func(model string) uint64 {
		before := len(e.orders())
		e.eventually("the sidecar orders "+model, func() bool {
			e.call(platformtest.Call{Path: "/draft/a", Body: "x", Model: model})
			return len(e.orders()) > before
		})
		orders := e.orders()
		return orders[len(orders)-1].Fence
	}
	first := order("m5")
	stop()
	e.awaitPort("127.0.0.11")
	e.store.Restore(copied)
	e.startSidecar(e.upstreams[0], "models", "side-0")
	if second := order("m6"); second <= first {
		t.Errorf("fence %d after the restore, %d before it", second, first)
	}
}
