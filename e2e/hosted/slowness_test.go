package hosted

import (
	"net/http"
	"testing"
	"time"

	"github.com/laureltally/laureltally/platform/platformtest"
)

// newSlownessInstallation starts a router and an engine with a sidecar whose responses state a
// slowness, unless it is empty.
func newSlownessInstallation(t *testing.T, slowness string) (*installation, *platformtest.Upstream, func()) {
	t.Helper()
	in := newInstallation(t)
	platformtest.Config{
		Version: 1, IdleTimeoutMS: 15000, Routes: []platformtest.Route{draft("models")},
		Services: []platformtest.Service{{Name: "models", Models: engineModels[:1], MemoryMB: 100, ModelMB: 45, AdapterSlots: 2, Slots: 16, LoadSeconds: 1, DiskSeconds: 1, LoadsPerSecond: 1}},
	}.Write(in.store)
	engine := in.upstream(platformtest.UpstreamOptions{
		ID: "engine", Service: "models", Events: 3, Slowness: slowness, Address: "127.0.0.11:0",
		Engine: &platformtest.EngineOptions{Loaded: engineModels[:1], MemoryMB: 100, ModelMB: 45, AdapterSlots: 2},
	})
	stop := in.startSidecar(engine, "models", "side-1")
	in.startLinkedRouter()
	return in, engine, stop
}

// paced reports whether a sidecar admits requests at its engine's own pace.
func (in *installation) paced(sidecar string) bool {
	for _, g := range in.metrics.Snapshot().Gauges() {
		if g.Name() == sidecar+".engine_slowness" {
			return true
		}
	}
	return false
}

func (in *installation) draft() int {
	return in.call(platformtest.Call{Path: "/draft/a", Body: "x", Model: engineModels[0]}).Status
}

// The slowness that an engine's server states reaches the sidecar beside it with the outcome of
// a request, and a sidecar that has started since with the next request. Without a fourth
// figure, or with one that can't be read, the sidecar admits requests as before.
func TestSidecarLearnsOfStatedSlowness(t *testing.T) {
	t.Parallel()
	for _, slowness := range []string{"", "slow"} {
		in, _, _ := newSlownessInstallation(t, slowness)
		in.eventually("the engine serves", func() bool { return in.draft() == http.StatusOK })
		in.draft()
		time.Sleep(300 * time.Millisecond)
		if in.paced("side-1") {
			t.Errorf("a slowness %q changes the admission", slowness)
		}
	}
	in, engine, stop := newSlownessInstallation(t, "250")
	in.eventually("the engine serves", func() bool { return in.draft() == http.StatusOK })
	in.eventually("the sidecar knows the slowness", func() bool { return in.paced("side-1") })
	stop()
	(&engines{installation: in}).awaitPort()
	engine.SetStream(60, 50*time.Millisecond)
	in.startSidecar(engine, "models", "side-2")
	time.Sleep(time.Second)
	ended := make(chan int, 1)
	go func() { ended <- in.draft() }()
	in.eventually("the new sidecar knows the slowness", func() bool { return in.paced("side-2") })
	if len(ended) > 0 {
		t.Error("known only by the end of a request")
	}
	if status := <-ended; status != http.StatusOK {
		t.Errorf("status %d", status)
	}
}
