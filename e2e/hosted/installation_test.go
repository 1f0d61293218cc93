// Package hosted tests the two programs of a hosted installation against fakes of
// the platform, in one process, over loopback.
package hosted

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/uber-go/tally/v4"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/ingress"
	"github.com/laureltally/laureltally/internal/harness"
	"github.com/laureltally/laureltally/keys"
	"github.com/laureltally/laureltally/platform"
	"github.com/laureltally/laureltally/platform/platformtest"
	"github.com/laureltally/laureltally/sidecar"
)

const (
	host        = "orders.example"
	zone        = "z1"
	region      = "r1"
	testTimeout = 20 * time.Second
	anyPort     = "127.0.0.1:0"
)

// installation is a router with sidecars and fakes of the platform.
type installation struct {
	t         *testing.T
	store     *platformtest.Store
	router    string
	readiness string
	stop      context.CancelFunc
	stopped   chan error
	client    *http.Client
	udp       int
	// metrics holds the metrics of the routers.
	metrics tally.TestScope
	// routers is the number of routers started.
	routers int
	// adjust, if set, changes the options of routers that are started later.
	adjust func(*ingress.Options)
	// memoryMB is the memory of the routers' VMs; zero means no limit.
	memoryMB float64
}

// logger returns a logger that writes to the test log with -v and discards its
// output otherwise.
func logger(t *testing.T) log.Interface {
	h := log.HandlerFunc(func(e *log.Entry) error {
		if testing.Verbose() {
			t.Logf("%s %v", e.Message, e.Fields)
		}
		return nil
	})
	if !testing.Verbose() {
		return &log.Logger{Handler: discard.New(), Level: log.InfoLevel}
	}
	return &log.Logger{Handler: h, Level: log.InfoLevel}
}

func newInstallation(t *testing.T) *installation {
	t.Helper()
	in := &installation{t: t, store: platformtest.NewStore(), udp: freePort(t), metrics: tally.NewTestScope("", nil), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	t.Cleanup(in.store.Close)
	return in
}

// freePort returns a UDP port that is free on all addresses.
func freePort(t *testing.T) int {
	t.Helper()
	address, err := harness.FreeAddress("udp4", "0.0.0.0")
	if err != nil {
		t.Fatal(err)
	}
	return int(netip.MustParseAddrPort(address).Port())
}

// startRouter starts an ingress and waits until it is ready.
func (in *installation) startRouter() {
	in.t.Helper()
	in.runRouter()
	in.eventually("the router is ready", in.ready)
}

func (in *installation) runRouter() {
	in.t.Helper()
	vm := ident.VM("router")
	if in.routers++; in.routers > 1 {
		vm = ident.VM(fmt.Sprintf("router-%d", in.routers))
	}
	credentials, err := keys.NewEphemeral(vm, nil)
	if err != nil {
		in.t.Fatal(err)
	}
	bound := make(chan [2]string, 1)
	store := platform.NewStore(in.store.Address())
	o := ingress.Options{
		ServerStarted: platform.ServerStarted(),
		Settings: config.IngressSettings{
			VM: vm, Region: region, Zone: zone, Listen: anyPort, ReadinessListen: anyPort, SidecarPort: in.udp, RetryShare: 0.2, RetrySlack: 50,
			ShutdownTimeout: config.Duration(4 * time.Second), MemoryMB: in.memoryMB,
		},
		Directory:     &platform.Directory{Store: store, Regions: platform.Regions{zone: region}},
		Store:         store,
		Restores:      store.Restores,
		Protocol:      platform.Protocol{},
		Credentials:   credentials,
		Logger:        logger(in.t),
		Metrics:       in.metrics,
		ReadinessPath: platform.ReadinessPath,
		OnListening:   func(callers, probes net.Addr) { bound <- [2]string{callers.String(), probes.String()} },
		PollInterval:  200 * time.Millisecond, ShutdownDelay: 300 * time.Millisecond,
	}
	if in.adjust != nil {
		in.adjust(&o)
	}
	server, err := ingress.New(o)
	if err != nil {
		in.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	in.stop, in.stopped = cancel, stopped
	go func() {
		stopped <- server.Run(ctx)
		close(stopped)
	}()
	in.t.Cleanup(func() {
		cancel()
		in.client.CloseIdleConnections()
		select {
		case <-stopped:
		case <-time.After(testTimeout):
			in.t.Error("the router did not stop")
		}
	})
	select {
	case at := <-bound:
		in.router, in.readiness = at[0], at[1]
	case err := <-stopped:
		in.t.Fatalf("router: %v", err)
	}
}

func (in *installation) ready() bool {
	resp, err := http.Get("http://" + in.readiness + platform.ReadinessPath)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startSidecar starts the sidecar of an engine.
func (in *installation) startSidecar(u *platformtest.Upstream, service, vm string) (stop func()) {
	in.t.Helper()
	credentials, err := keys.NewEphemeral(ident.VM(u.Address()), nil)
	if err != nil {
		in.t.Fatal(err)
	}
	ip, _, _ := strings.Cut(u.Address(), ":")
	store := platform.NewStore(in.store.Address())
	s := sidecar.New(sidecar.Options{
		Settings: config.SidecarSettings{
			VM: ident.VM(vm), Region: region, Zone: zone, Service: ident.Upstream(service), EngineAddress: u.Address(),
			PeerListen: fmt.Sprintf("%s:%d", ip, in.udp),
			OrderLease: config.Duration(300 * time.Millisecond),
		},
		Engine:      platform.NewEngine(u.Address()),
		Store:       store,
		Directory:   &platform.Directory{Store: store, Regions: platform.Regions{zone: region}},
		Credentials: credentials,
		Logger:      logger(in.t),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := s.Run(ctx); err != nil {
			in.t.Errorf("sidecar: %v", err)
		}
	}()
	stop = func() {
		cancel()
		<-done
	}
	in.t.Cleanup(stop)
	return stop
}

// awaitPort waits until the sidecar at an IP address has freed its port.
func (in *installation) awaitPort(ip string) {
	in.t.Helper()
	in.eventually("the port is free", func() bool {
		c, err := net.ListenPacket("udp4", fmt.Sprintf("%s:%d", ip, in.udp))
		if err == nil {
			c.Close()
		}
		return err == nil
	})
}

// upstream starts an upstream and registers it.
func (in *installation) upstream(o platformtest.UpstreamOptions) *platformtest.Upstream {
	in.t.Helper()
	if o.Zone == "" {
		o.Zone = zone
	}
	if o.Slots == 0 {
		o.Slots = 16
	}
	u, err := platformtest.NewUpstream(o)
	if err != nil {
		in.t.Fatal(err)
	}
	in.t.Cleanup(u.Close)
	u.Register(in.store, "ready")
	return u
}

func (in *installation) call(c platformtest.Call) platformtest.Reply {
	in.t.Helper()
	if c.Host == "" {
		c.Host = host
	}
	ctx, cancel := context.WithTimeout(in.t.Context(), testTimeout)
	defer cancel()
	return c.Do(ctx, in.client, in.router)
}

// callConcurrently makes n concurrent calls, so that every VM of a service gets
// some.
func (in *installation) callConcurrently(n int, c platformtest.Call) []platformtest.Reply {
	replies := make([]platformtest.Reply, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { replies[i] = in.call(c) })
	}
	wg.Wait()
	return replies
}

// attemptsEnded returns the number of attempts of the routers that ended with an outcome.
func (in *installation) attemptsEnded(outcome string) int64 {
	n := int64(0)
	for _, c := range in.metrics.Snapshot().Counters() {
		if c.Name() == "attempts_ended" && c.Tags()["outcome"] == outcome {
			n += c.Value()
		}
	}
	return n
}

// eventually waits until a condition holds, and fails the test after testTimeout.
func (in *installation) eventually(what string, ok func() bool) {
	in.t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	in.t.Fatalf("timed out waiting until %s", what)
}

// idempotent and the functions after it return the routes of the tests.
func idempotent(service string) platformtest.Route {
	return platformtest.Route{Host: host, Prefix: "/read/", Kind: "idempotent", Service: service, TimeoutMS: 1500, ObjectiveMS: 300, MaxAttempts: 2}
}

func nonIdempotent(service string) platformtest.Route {
	return platformtest.Route{Host: host, Prefix: "/order/", Kind: "non_idempotent", Service: service, TimeoutMS: 1500, ObjectiveMS: 300, MaxAttempts: 2}
}

func resumable(service string) platformtest.Route {
	return platformtest.Route{Host: host, Prefix: "/outlook/", Kind: "streaming", Service: service, TimeoutMS: 10000, ObjectiveMS: 2500, EventGapMS: 300, MaxAttempts: 2, Resumable: true}
}

func draft(service string) platformtest.Route {
	return platformtest.Route{Host: host, Prefix: "/draft/", Kind: "streaming", Service: service, TimeoutMS: 5000, ObjectiveMS: 800, EventGapMS: 300, MaxAttempts: 1}
}

// writePlainConfig writes a configuration with all routes to one service without
// models.
func writePlainConfig(in *installation, version int) platformtest.Config {
	c := platformtest.Config{
		Version: version, IdleTimeoutMS: 15000, HeaderBytes: 4096, BodyBytes: 1 << 20,
		Routes:   []platformtest.Route{idempotent("portal"), nonIdempotent("portal"), resumable("portal"), draft("portal")},
		Services: []platformtest.Service{{Name: "portal"}},
	}
	c.Write(in.store)
	return c
}
