package router

import (
	"crypto/tls"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/laureltally/laureltally/catalog"
	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/metastore/memstore"
	"github.com/laureltally/laureltally/wire"
)

// noCredentials makes all connections fail.
type noCredentials struct{}

func (noCredentials) ServerConfig() (*tls.Config, error) { return nil, &unlistedError{} }
func (noCredentials) ClientConfig() (*tls.Config, error) { return nil, &unlistedError{} }

func testServer(t *testing.T) *Server {
	t.Helper()
	s, err := New(Options{
		Settings:    config.RouterSettings{VM: "r", Region: "x", Zone: "z", Environments: []ident.Environment{"e", "f"}},
		Store:       memstore.New(memstore.Options{}),
		Credentials: noCredentials{},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		s.background.Wait()
		for _, env := range s.environments {
			env.claims.Close()
		}
		s.pool.Close()
	})
	return s
}

// addVM adds a VM that serves env and holds a slot of model m.
func addVM(s *Server, env ident.Environment, id ident.VM, phase engine.Phase) {
	u := &upstreamVM{listed: metastore.VM{ID: id, Upstream: "u", Region: "x"}, connected: true, stop: func() {}}
	s.fleet.vms[id] = u
	s.fleet.applyReport(u, &wire.Report{
		VM: id, Incarnation: 1, Seq: 1, Role: metastore.RoleAgent, Region: "x", Upstream: "u", FreeMB: 80000,
		Configs: map[ident.Environment]metastore.Version{env: 1},
		Models:  []wire.ModelReport{{Model: "m", Fence: 1, Phase: phase, Tier: engine.TierRemote}},
	})
}

func testDelivery(s *Server, env ident.Environment, timeout time.Duration) *delivery {
	return &delivery{
		s: s, env: s.environments[env], out: newBufferedSink(httptest.NewRecorder()), avoid: make(map[ident.VM]bool),
		req: &Request{
			Environment: env, Upstream: "u", Deadline: time.Now().Add(timeout),
			Target: catalog.Target{Model: config.Model{Name: "m", Upstream: "u", MemoryMB: 24000, Concurrency: 1}},
		},
	}
}

// A request for an unloaded model with a deadline shorter than any load must be refused
// after one attempt, with a Retry-After.
func TestUnreachableDeadlineIsRefusedAtOnce(t *testing.T) {
	s := testServer(t)
	addVM(s, "e", "a", "")
	d := testDelivery(s, "e", 50*time.Millisecond)
	f := d.run(t.Context())
	if f == nil || f.Code != wire.CodeDeadline || f.Run != wire.RunStateNotRun || f.RetryAfter <= 0 || d.attempts != 1 {
		t.Fatalf("%+v after %d attempts", f, d.attempts)
	}
}

// A VM that has refused a request is chosen again only if it is the only one.
func TestOnlyVMIsRetried(t *testing.T) {
	s := testServer(t)
	addVM(s, "e", "a", engine.PhaseLoaded)
	d := testDelivery(s, "e", time.Minute)
	d.avoid["a"] = true
	if got, f := d.choose(); f != nil || got.vm != "a" {
		t.Fatalf("got %+v, %+v", got, f)
	}
	addVM(s, "e", "b", engine.PhaseLoaded)
	d.avoid["a"] = true
	if got, f := d.choose(); f != nil || got.vm != "b" {
		t.Fatalf("with another VM: got %+v, %+v", got, f)
	}
}

// TestEnvironmentsDoNotShareNames uses two environments with the same model and
// upstream names.
func TestEnvironmentsDoNotShareNames(t *testing.T) {
	s := testServer(t)
	addVM(s, "e", "a", engine.PhaseLoaded)
	addVM(s, "f", "b", engine.PhaseLoaded)
	for env, want := range map[ident.Environment]ident.VM{"e": "a", "f": "b"} {
		for range 20 {
			got, f := testDelivery(s, env, time.Minute).choose()
			if f != nil || got.vm != want {
				t.Fatalf("%s: got %+v, %+v", env, got, f)
			}
			s.fleet.ended(got, nil)
		}
	}
}
