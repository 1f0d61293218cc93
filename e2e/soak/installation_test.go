package soak

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/laureltally/laureltally/internal/harness"
	"github.com/laureltally/laureltally/platform"
	"github.com/laureltally/laureltally/platform/platformtest"
)

const (
	host    = "orders.example"
	zone    = "z1"
	routers = 2
	engines = 3
	plains  = 2
	// events is how many a stream has.
	events = 6
	// probeInterval and probeFailures are the balancer's habits.
	probeInterval = 500 * time.Millisecond
	probeFailures = 2
)

// Ports, below those that systems give to connections. Each process has an
// address of its own.
const (
	callerPort  = 21001
	probePort   = 21002
	adminPort   = 21003
	enginePort  = 21004
	sidecarPort = 21005
	// behindPort is where a sidecar listens, behind what forwards to it.
	behindPort = 21006
)

var modelNames = []string{"m0", "m1", "m2", "m3", "m4", "m5", "m6", "m7"}

// installation is one set of processes and stand-ins, on addresses of its own.
type installation struct {
	t          *testing.T
	lane       int
	dir        string
	store      *platformtest.Store
	storeProxy *proxy
	routers    []*process
	sidecars   []*process
	upstreams  []*upstream
	// boxes stand before the sidecars.
	boxes []*harness.Middlebox

	config struct {
		sync.Mutex
		version int
		// written is when each version was.
		written map[int]time.Time
	}
	// busy holds a lock for each subject of a fault that goes on.
	busy  sync.Map
	stop  chan struct{}
	ready [routers]readyState
}

// upstream is a stand-in behind its proxy.
type upstream struct {
	*platformtest.Upstream
	proxy *proxy
	// lives counts its starts after the first.
	lives int

	mu       sync.Mutex
	behavior platformtest.Behavior
}

// readyState is the balancer's belief of a router.
type readyState struct {
	mu sync.Mutex
	// failed counts the probes in a row that failed.
	failed int
}

func newInstallation(t *testing.T, lane int) *installation {
	t.Helper()
	dir, err := os.MkdirTemp("", "laureltally-soak-seed-")
	if err != nil {
		t.Fatal(err)
	}
	in := &installation{t: t, lane: lane, dir: dir, store: platformtest.NewStore(), stop: make(chan struct{})}
	in.config.written = make(map[int]time.Time)
	if in.storeProxy, err = newProxy("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	in.storeProxy.target = in.store.Address()
	in.writeConfig()
	for i := range engines + plains {
		in.addUpstream(i)
	}
	for i := range engines {
		in.addBox(i)
		in.sidecars = append(in.sidecars, newProcess(t, dir, fmt.Sprintf("sidecar-%d", i), "laureltally-sidecar", in.sidecarSettings(i)))
	}
	for i := range routers {
		in.routers = append(in.routers, newProcess(t, dir, fmt.Sprintf("router-%d", i), "laureltally-ingress", in.routerSettings(i)))
	}
	for _, p := range append(in.sidecars, in.routers...) {
		p.start()
	}
	for i := range in.routers {
		in.ready[i].failed = probeFailures
		go in.probe(i)
	}
	in.calm()
	return in
}

func (in *installation) addUpstream(i int) {
	o := platformtest.UpstreamOptions{ID: fmt.Sprintf("i-%d-0", i), Zone: zone, Slots: 12, ProcessingTime: 30 * time.Millisecond, Service: "portal"}
	if i < engines {
		o.Service, o.Events, o.EventInterval, o.ProcessingTime = "models", events, 15*time.Millisecond, 0
		o.Engine = &platformtest.EngineOptions{Loaded: modelNames[i : i+2], MemoryMB: 100, ModelMB: 45, AdapterSlots: 2, RemoteLoad: 400 * time.Millisecond, DiskLoad: 100 * time.Millisecond}
	}
	p, err := newProxy(fmt.Sprintf("%s:%d", ipOf(in.lane, 20+i), enginePort))
	if err != nil {
		in.t.Fatal(err)
	}
	o.Advertised = p.address()
	u := &upstream{proxy: p}
	if u.Upstream, err = platformtest.NewUpstream(o); err != nil {
		in.t.Fatal(err)
	}
	p.target = u.Address()
	u.SetBehavior(func(int, *http.Request) platformtest.Behavior {
		u.mu.Lock()
		defer u.mu.Unlock()
		return u.behavior
	})
	u.Register(in.store, "ready")
	in.upstreams = append(in.upstreams, u)
}

func (in *installation) addBox(i int) {
	ip := ipOf(in.lane, 20+i)
	box, err := harness.NewMiddleboxAt(fmt.Sprintf("%s:%d", ip, sidecarPort), fmt.Sprintf("%s:%d", ip, behindPort))
	if err != nil {
		in.t.Fatal(err)
	}
	in.boxes = append(in.boxes, box)
}

func (in *installation) routerAddress(i int) string {
	return fmt.Sprintf("%s:%d", ipOf(in.lane, 1+i), callerPort)
}

func (in *installation) routerSettings(i int) string {
	ip := ipOf(in.lane, 1+i)
	return fmt.Sprintf(`{"vm": "router-%d", "region": "r1", "zone": %q, "zones": [{"zone": %q, "region": "r1"}],
		"listen": "%s:%d", "readiness_listen": "%s:%d", "admin_listen": "%s:%d", "sidecar_port": %d,
		"metadata_store": %q, "retry_share": 0.2, "retry_slack": 50, "config_within": "3s", "leaving_within": "3s", "shutdown_timeout": "8s", "log": {"format": "json", "level": "info"}}`,
		i, zone, zone, ip, callerPort, ip, probePort, ip, adminPort, sidecarPort, in.storeProxy.address())
}

func (in *installation) sidecarSettings(i int) string {
	ip := ipOf(in.lane, 20+i)
	return fmt.Sprintf(`{"vm": "side-%d", "region": "r1", "zone": %q, "service": "models", "engine_address": "%s:%d",
		"peer_listen": "%s:%d", "admin_listen": "%s:%d", "metadata_store": %q, "first_start": true, "order_lease": "1s", "log": {"format": "json", "level": "info"}}`,
		i, zone, ip, enginePort, ip, behindPort, ip, adminPort, in.storeProxy.address())
}

// writeConfig puts the next configuration into force: the fixed routes, and one
// that the version names.
func (in *installation) writeConfig() {
	in.config.Lock()
	defer in.config.Unlock()
	in.config.version++
	v := in.config.version
	route := func(prefix, kind, service string, ms, attempts int, resumable bool) platformtest.Route {
		return platformtest.Route{Host: host, Prefix: prefix, Kind: kind, Service: service, TimeoutMS: ms, ObjectiveMS: 500, EventGapMS: 300, MaxAttempts: attempts, Resumable: resumable}
	}
	c := platformtest.Config{
		Version: v, IdleTimeoutMS: 15000, HeaderBytes: 4096, BodyBytes: 1 << 20,
		Routes: []platformtest.Route{
			route("/read/", "idempotent", "portal", 1500, 2, false),
			route("/order/", "non_idempotent", "portal", 1500, 2, false),
			route("/outlook/", "streaming", "models", 8000, 2, true),
			route("/draft/", "streaming", "models", 5000, 2, false),
		},
		Services: []platformtest.Service{
			{Name: "portal"},
			{Name: "models", Models: modelNames, MemoryMB: 100, ModelMB: 45, AdapterSlots: 2, Slots: 12, LoadSeconds: 0.4, DiskSeconds: 0.1, LoadsPerSecond: 20},
		},
	}
	for i := 2; i <= v; i++ {
		c.Routes = append(c.Routes, route(fmt.Sprintf("/extra-%d/", i), "idempotent", "portal", 1500, 2, false))
	}
	c.Write(in.store)
	in.config.written[v] = time.Now()
}

// settledVersion is a version that every router must know, or 0.
func (in *installation) settledVersion() int {
	in.config.Lock()
	defer in.config.Unlock()
	v := in.config.version
	for v > 1 && time.Since(in.config.written[v]) < configInForce {
		v--
	}
	return v
}

// configInForce is how long a configuration may take to be in force.
const configInForce = 3 * time.Second

// probe is the balancer's view of one router.
func (in *installation) probe(i int) {
	client := &http.Client{Timeout: probeInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	url := fmt.Sprintf("http://%s:%d%s", ipOf(in.lane, 1+i), probePort, platform.ReadinessPath)
	s := &in.ready[i]
	for {
		resp, err := client.Get(url)
		ok := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			resp.Body.Close()
		}
		s.mu.Lock()
		if s.failed++; ok {
			s.failed = 0
		}
		s.mu.Unlock()
		if ok {
			in.routers[i].shut(&in.routers[i].gone)
		}
		select {
		case <-in.stop:
			return
		case <-time.After(probeInterval):
		}
	}
}

// pick returns a router that the balancer takes to be ready, or -1.
func (in *installation) pick(n int) int {
	for k := range routers {
		i := (n + k) % routers
		s := &in.ready[i]
		s.mu.Lock()
		ok := s.failed < probeFailures
		s.mu.Unlock()
		if ok {
			return i
		}
	}
	return -1
}

func (in *installation) close() {
	close(in.stop)
	for _, p := range append(in.sidecars, in.routers...) {
		p.end()
	}
	for _, b := range in.boxes {
		b.Close()
	}
	for _, u := range in.upstreams {
		u.proxy.close()
		u.Close()
	}
	in.storeProxy.close()
	in.store.Close()
	if in.t.Failed() {
		in.t.Logf("logs: %s", in.dir)
		return
	}
	_ = os.RemoveAll(in.dir)
}
