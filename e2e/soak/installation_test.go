package soak

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/laureltally/laureltally/internal/harness"
	"github.com/laureltally/laureltally/platform"
	"github.com/laureltally/laureltally/platform/platformtest"
)

const (
	host = "orders.example"
	zone = "z1"
	// events is the number of events of a stream.
	events        = 6
	eventInterval = 15 * time.Millisecond
	// probeInterval and probeFailures are the load balancer's probe settings.
	probeInterval = 500 * time.Millisecond
	probeFailures = 2
)

// size is the size of an installation.
type size struct {
	routers, engines, plainUpstreams int
	// direct makes upstreams listen at their addresses, without proxies, so that a
	// connection to a crashed one is refused.
	direct bool
	// memoryMB is the memory of the routers' VMs; zero means no limit.
	memoryMB int
	// tenants makes callers need keys.
	tenants bool
	// ownStores gives each router a way of its own to the store.
	ownStores bool
	// engineProcesses makes the engines separate processes.
	engineProcesses bool
}

// soakSize is the size of the installations that the soak injects faults into.
var soakSize = size{routers: 2, engines: 3, plainUpstreams: 2, ownStores: true}

// Ports, below the ephemeral range. Each process has its own address.
const (
	callerPort  = 21001
	probePort   = 21002
	adminPort   = 21003
	enginePort  = 21004
	sidecarPort = 21005
	// sidecarListenPort is the port on which a sidecar listens, behind its middlebox.
	sidecarListenPort = 21006
)

var modelNames = []string{"m0", "m1", "m2", "m3", "m4", "m5", "m6", "m7"}

// installation is a set of processes and fakes with its own addresses.
type installation struct {
	size       size
	t          *testing.T
	worker     int
	dir        string
	store      *platformtest.Store
	storeProxy *proxy
	// routerStores holds the routers' own ways to the store, if they have them.
	routerStores []*proxy
	routers      []*process
	sidecars     []*process
	upstreams    []*upstream
	// engines holds the engines that are processes.
	engines []*engineProcess
	// keys holds the callers' API keys, or is nil if they need none.
	keys *apiKeys
	// middleboxes forward UDP datagrams to the sidecars.
	middleboxes []*harness.Middlebox

	config struct {
		sync.Mutex
		version int
		// retired holds how often each model is retired at the moment.
		retired map[string]int
		// written is the time at which each version was written.
		written map[int]time.Time
	}
	// registrations is held while an upstream is registered.
	registrations sync.Mutex
	// faultLocks holds a mutex for each subject of a fault.
	faultLocks sync.Map
	stop       chan struct{}
	ready      []readyState
}

// upstream is a fake upstream behind its proxy.
type upstream struct {
	*platformtest.Upstream
	proxy *proxy
	// restarts counts the restarts.
	restarts int
	// state is that of the registration, and ended holds the ids from before the
	// restarts. Both are guarded by installation.registrations.
	state string
	ended []string

	mu       sync.Mutex
	behavior platformtest.Behavior
}

// readyState is the load balancer's probe state of a router.
type readyState struct {
	mu sync.Mutex
	// failed counts consecutive failed probes.
	failed int
}

func (s *readyState) set(failed int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failed = failed
}

func newInstallation(t *testing.T, worker int, n size) *installation {
	t.Helper()
	dir, err := os.MkdirTemp("", "laureltally-soak-seed-")
	if err != nil {
		t.Fatal(err)
	}
	in := &installation{size: n, t: t, worker: worker, dir: dir, store: platformtest.NewStore(), stop: make(chan struct{}), ready: make([]readyState, n.routers)}
	in.config.written, in.config.retired = make(map[int]time.Time), make(map[string]int)
	if n.tenants {
		in.keys = newAPIKeys()
	}
	if in.storeProxy, err = newProxy("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	in.storeProxy.target = in.store.Address()
	in.writeConfig()
	for i := range n.engines + n.plainUpstreams {
		if n.engineProcesses && i < n.engines {
			in.engines = append(in.engines, in.startEngineProcess(i, modelNames[i%2:i%2+2]))
		} else {
			in.addUpstream(i)
		}
	}
	for i := range n.engines {
		in.addMiddlebox(i)
		in.sidecars = append(in.sidecars, newProcess(t, dir, fmt.Sprintf("sidecar-%d", i), "laureltally-sidecar", in.sidecarSettings(i)))
	}
	for i := range n.routers {
		if n.ownStores {
			p, err := newProxy("127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			p.target = in.store.Address()
			in.routerStores = append(in.routerStores, p)
		}
		in.routers = append(in.routers, newProcess(t, dir, fmt.Sprintf("router-%d", i), "laureltally-ingress", in.routerSettings(i)))
	}
	for _, p := range append(in.sidecars, in.routers...) {
		p.start()
	}
	for i := range in.routers {
		in.ready[i].failed = probeFailures
		go in.probe(i)
	}
	in.awaitReady()
	return in
}

// storeProxies returns all ways to the store.
func (in *installation) storeProxies() []*proxy { return append(in.routerStores, in.storeProxy) }

func (in *installation) addUpstream(i int) {
	o := platformtest.UpstreamOptions{ID: fmt.Sprintf("i-%d-0", i), Zone: zone, Slots: 12, ProcessingTime: 30 * time.Millisecond, Service: "portal"}
	if i < in.size.engines {
		o.Service, o.Events, o.EventInterval, o.ProcessingTime = "models", events, eventInterval, 0
		o.Software = softwareVersions[0]
		first := i % (len(modelNames) - 1)
		o.Engine = &platformtest.EngineOptions{Loaded: modelNames[first : first+2], MemoryMB: 100, ModelMB: 45, AdapterSlots: 2, RemoteLoad: 400 * time.Millisecond, DiskLoad: 100 * time.Millisecond}
	}
	u, address := &upstream{}, fmt.Sprintf("%s:%d", ipOf(in.worker, 20+i), enginePort)
	var err error
	if in.size.direct {
		o.Address = address
	} else {
		if u.proxy, err = newProxy(address); err != nil {
			in.t.Fatal(err)
		}
		o.Advertised = address
	}
	if u.Upstream, err = platformtest.NewUpstream(o); err != nil {
		in.t.Fatal(err)
	}
	if u.proxy != nil {
		u.proxy.target = u.Address()
	}
	u.SetBehavior(func(int, *http.Request) platformtest.Behavior {
		u.mu.Lock()
		defer u.mu.Unlock()
		return u.behavior
	})
	u.Register(in.store, "ready")
	in.upstreams = append(in.upstreams, u)
}

func (in *installation) addMiddlebox(i int) {
	ip := ipOf(in.worker, 20+i)
	middlebox, err := harness.NewMiddleboxAt(fmt.Sprintf("%s:%d", ip, sidecarPort), fmt.Sprintf("%s:%d", ip, sidecarListenPort))
	if err != nil {
		in.t.Fatal(err)
	}
	in.middleboxes = append(in.middleboxes, middlebox)
}

func (in *installation) routerAddress(i int) string {
	return fmt.Sprintf("%s:%d", ipOf(in.worker, 1+i), callerPort)
}

func (in *installation) routerSettings(i int) string {
	ip := ipOf(in.worker, 1+i)
	revocation := ""
	if in.keys != nil {
		revocation = fmt.Sprintf(`"revoke_strict": true, "revoke_within": %q,`, revokeWithin)
	}
	store := in.storeProxy
	if in.size.ownStores {
		store = in.routerStores[i]
	}
	return fmt.Sprintf(`{%s "vm": "router-%d", "region": "r1", "zone": %q, "zones": [{"zone": %q, "region": "r1"}],
		"listen": "%s:%d", "readiness_listen": "%s:%d", "admin_listen": "%s:%d", "sidecar_port": %d,
		"metadata_store": %q, "retry_share": 0.2, "retry_slack": 50, "config_within": "3s", "leaving_within": "3s", "shutdown_timeout": "8s", "memory_mb": %d, "log": {"format": "json", "level": "info"}}`,
		revocation, i, zone, zone, ip, callerPort, ip, probePort, ip, adminPort, sidecarPort, store.address(), in.size.memoryMB)
}

func (in *installation) sidecarSettings(i int) string {
	ip := ipOf(in.worker, 20+i)
	return fmt.Sprintf(`{"vm": "side-%d", "region": "r1", "zone": %q, "service": "models", "engine_address": "%s:%d",
		"peer_listen": "%s:%d", "admin_listen": "%s:%d", "metadata_store": %q, "first_start": true, "order_lease": "1s", "log": {"format": "json", "level": "info"}}`,
		i, zone, ip, enginePort, ip, sidecarListenPort, ip, adminPort, in.storeProxy.address())
}

// writeConfig writes the next version of the configuration: the fixed routes, and
// one route for each version from 2 on.
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
			{Name: "models", Models: slices.DeleteFunc(slices.Clone(modelNames), func(m string) bool { return in.config.retired[m] > 0 }), MemoryMB: 100, ModelMB: 45, AdapterSlots: 2, Slots: 12, LoadSeconds: 0.4, DiskSeconds: 0.1, LoadsPerSecond: 20},
		},
	}
	if in.keys != nil {
		c.Tenants = in.keys.tenants()
		c.Routes[0].Public = true
	}
	for i := 2; i <= v; i++ {
		c.Routes = append(c.Routes, route(fmt.Sprintf("/extra-%d/", i), "idempotent", "portal", 1500, 2, false))
	}
	c.Write(in.store)
	in.config.written[v] = time.Now()
}

// retireModel leaves a model out of the configuration for a time.
func (in *installation) retireModel(name string, lasts time.Duration) {
	for _, n := range []int{1, -1} {
		in.config.Lock()
		in.config.retired[name] += n
		in.config.Unlock()
		in.writeConfig()
		if n > 0 {
			time.Sleep(lasts)
		}
	}
}

// settledVersion returns the latest version that every router must use, at least 1.
func (in *installation) settledVersion() int {
	in.config.Lock()
	defer in.config.Unlock()
	v := in.config.version
	for v > 1 && time.Since(in.config.written[v]) < configPropagation {
		v--
	}
	return v
}

// configPropagation is how long a configuration may take until all routers use it.
const configPropagation = 3 * time.Second

// probe probes the readiness of one router, as the load balancer does, until the
// installation is closed.
func (in *installation) probe(i int) {
	client := &http.Client{Timeout: probeInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	url := fmt.Sprintf("http://%s:%d%s", ipOf(in.worker, 1+i), probePort, platform.ReadinessPath)
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
			in.routers[i].closeSpan(&in.routers[i].down)
		}
		select {
		case <-in.stop:
			return
		case <-time.After(probeInterval):
		}
	}
}

// pick returns the first router from n on that the load balancer regards as ready,
// or -1.
func (in *installation) pick(n int) int {
	for k := range in.size.routers {
		i := (n + k) % in.size.routers
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
	for _, e := range in.engines {
		e.end()
	}
	for _, b := range in.middleboxes {
		b.Close()
	}
	for _, u := range in.upstreams {
		if u.proxy != nil {
			u.proxy.close()
		}
		u.Close()
	}
	for _, p := range in.storeProxies() {
		p.close()
	}
	in.store.Close()
	if in.t.Failed() {
		in.t.Logf("logs: %s", in.dir)
		return
	}
	_ = os.RemoveAll(in.dir)
}
