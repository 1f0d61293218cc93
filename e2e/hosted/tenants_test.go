package hosted

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/ingress"
	"github.com/laureltally/laureltally/platform/platformtest"
)

// Keys of the tests. Every key contains keyPart, which may appear in no log line.
const (
	keyPart = "c3cr3t"
	key1    = "asn-c3cr3t-1"
	key2    = "k7b-c3cr3t-2"
	// revokeWithin is long enough for a few reads on a busy machine.
	revokeWithin = 2 * time.Second
)

// open is a public route.
func open(service string) platformtest.Route {
	r := idempotent(service)
	r.Prefix, r.Public = "/open/", true
	return r
}

// tenantConfig returns a configuration in which tenants t1 and t2 have some keys.
func tenantConfig(version int, keys1, keys2 []string) platformtest.Config {
	return platformtest.Config{
		Version: version, IdleTimeoutMS: 15000, HeaderBytes: 4096, BodyBytes: 1 << 20,
		Routes:   []platformtest.Route{idempotent("portal"), nonIdempotent("portal"), resumable("portal"), open("portal")},
		Services: []platformtest.Service{{Name: "portal"}},
		Tenants:  []platformtest.Tenant{{Name: "t1", Keys: keys1, Priority: 1}, {Name: "t2", Keys: keys2}},
	}
}

// logLines records everything that routers log.
type logLines struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logLines) HandleLog(e *log.Entry) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = fmt.Fprintln(&l.text, e.Message, e.Fields)
	return nil
}

func (l *logLines) contains(s string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.text.String(), s)
}

// newTenantInstallation returns an installation with tenants t1 and t2, two upstreams and
// a router.
func newTenantInstallation(t *testing.T, strict bool, o platformtest.UpstreamOptions) (*installation, [2]*platformtest.Upstream, *logLines) {
	in, lines := newInstallation(t), &logLines{}
	in.adjust = func(o *ingress.Options) {
		o.Logger = &log.Logger{Handler: lines, Level: log.DebugLevel}
		o.Settings.RevokeStrict, o.Settings.RevokeWithin = strict, config.Duration(revokeWithin)
	}
	tenantConfig(1, []string{key1}, []string{key2}).Write(in.store)
	var upstreams [2]*platformtest.Upstream
	for i := range upstreams {
		o.ID, o.Service = fmt.Sprintf("i-%d", i), "portal"
		upstreams[i] = in.upstream(o)
	}
	in.startRouter()
	return in, upstreams, lines
}

func arrivals(upstreams [2]*platformtest.Upstream) []platformtest.Arrival {
	return append(upstreams[0].Arrivals(), upstreams[1].Arrivals()...)
}

// get returns a call of an idempotent route.
func get(path, key string) platformtest.Call {
	return platformtest.Call{Method: http.MethodGet, Path: path, Key: key, Header: http.Header{"X-Tenant": {"forged"}}}
}

// A key must reach no upstream, log line or metric, on any path of a request, and upstreams
// must get the tenant of the key instead of what the caller claims.
//
// Fails if PrepareAttempt keeps Authorization or X-Tenant, if the tenant is left out of an
// attempt, or if an error names a key.
func TestKeyReachesNoUpstreamOrLog(t *testing.T) {
	t.Parallel()
	in, upstreams, lines := newTenantInstallation(t, false, platformtest.UpstreamOptions{})
	tenants := make(map[string]string)
	made := 0
	expect := func(what string, c platformtest.Call, tenant string, status, attempts int) {
		t.Helper()
		before := len(arrivals(upstreams))
		made++
		c.ID = fmt.Sprintf("call-%d", made)
		tenants[c.ID] = tenant
		if r := in.call(c); r.Status != status {
			t.Errorf("%s: got %+v", what, r)
		}
		if n := len(arrivals(upstreams)) - before; n != attempts {
			t.Errorf("%s: %d attempts, want %d", what, n, attempts)
		}
	}
	var once sync.Once
	behave := func(first, rest platformtest.Behavior) {
		// Requests that are answered pay for a retry.
		for range 20 {
			in.call(get("/open/fill", ""))
		}
		once = sync.Once{}
		for _, u := range upstreams {
			u.SetBehavior(func(int, *http.Request) platformtest.Behavior {
				b := rest
				once.Do(func() { b = first })
				return b
			})
		}
	}
	expect("first attempt", get("/read/a", key1), "t1", http.StatusOK, 1)
	expect("other tenant", get("/read/a", key2), "t2", http.StatusOK, 1)
	expect("with a body", platformtest.Call{Path: "/order/a", Body: "x", Key: key1}, "t1", http.StatusOK, 1)
	expect("public route", get("/open/a", key2), "t2", http.StatusOK, 1)
	expect("public route, no key", get("/open/a", ""), "", http.StatusOK, 1)
	expect("public route, unknown key", get("/open/a", keyPart), "", http.StatusOK, 1)
	lower := get("/read/a", "")
	lower.Header["Authorization"] = []string{"bearer " + key1}
	expect("other case of the scheme", lower, "t1", http.StatusOK, 1)
	behave(platformtest.Behavior{DropResponse: true}, platformtest.Behavior{})
	expect("retry after a lost response", get("/read/a", key1), "t1", http.StatusOK, 2)
	behave(platformtest.Behavior{Decline: true}, platformtest.Behavior{})
	expect("retry after a refusal", get("/read/a", key2), "t2", http.StatusOK, 2)
	behave(platformtest.Behavior{}, platformtest.Behavior{})

	expect("no key", get("/read/a", ""), "", http.StatusUnauthorized, 0)
	expect("unknown key", get("/read/a", keyPart), "", http.StatusUnauthorized, 0)
	expect("name of a tenant", get("/read/a", "t1"), "", http.StatusUnauthorized, 0)
	basic, twice := get("/read/a", ""), get("/read/a", "")
	basic.Header["Authorization"] = []string{"Basic " + key1}
	twice.Header["Authorization"] = []string{"Bearer " + key1, "Bearer " + key1}
	expect("other scheme", basic, "", http.StatusUnauthorized, 0)
	expect("two headers", twice, "", http.StatusUnauthorized, 0)

	for _, u := range upstreams {
		u.SetStream(6, 20*time.Millisecond)
	}
	behave(platformtest.Behavior{TruncateAfter: 3}, platformtest.Behavior{})
	expect("stream resumed by the router", platformtest.Call{Path: "/outlook/a", Body: "x", Key: key2}, "t2", http.StatusOK, 2)
	resumed := platformtest.Call{Path: "/outlook/a", Body: "x", Key: key1, Header: http.Header{"Last-Event-Id": {"2"}, "Resumes": {"call-1"}}}
	expect("stream resumed by the caller", resumed, "t1", http.StatusOK, 1)

	// A malformed configuration is logged.
	tenantConfig(2, []string{key1, key2}, []string{key2}).Write(in.store)
	in.eventually("the malformed configuration is logged", func() bool { return lines.contains("tenants[1].api_keys[0]") })

	for _, a := range arrivals(upstreams) {
		want := []string{}
		if name := tenants[a.ID]; name != "" {
			want = []string{name}
		}
		if len(a.Authorization) > 0 || !slices.Equal(a.Tenant, want) {
			t.Errorf("%s: Authorization %q, X-Tenant %q, want %q", a.ID, a.Authorization, a.Tenant, want)
		}
	}
	if lines.contains(keyPart) {
		t.Error("a log line contains a key")
	}
	if !lines.contains("tenant:t1") {
		t.Error("no log line has the tenant")
	}
	for _, c := range in.metrics.Snapshot().Counters() {
		if strings.Contains(fmt.Sprint(c.Name(), c.Tags()), keyPart) {
			t.Errorf("a metric contains a key: %s", c.Name())
		}
	}
}

// Guards against requests that are mixed up because they differ in nothing but their key.
func TestEqualRequestsOfTwoTenants(t *testing.T) {
	t.Parallel()
	in, upstreams, _ := newTenantInstallation(t, true, platformtest.UpstreamOptions{ProcessingTime: 5 * time.Millisecond})
	var wg sync.WaitGroup
	for i := range 60 {
		wg.Go(func() {
			c := get("/read/a", []string{key1, key2}[i%2])
			c.ID = fmt.Sprintf("t%d-%d", i%2+1, i)
			if r := in.call(c); r.Status != http.StatusOK || r.Body != "answer to "+c.ID {
				t.Errorf("got %+v", r)
			}
		})
	}
	wg.Wait()
	for _, a := range arrivals(upstreams) {
		if tenant, _, _ := strings.Cut(a.ID, "-"); !slices.Equal(a.Tenant, []string{tenant}) {
			t.Errorf("%s arrived with X-Tenant %q", a.ID, a.Tenant)
		}
	}
}

// Rule of key revocation at a router that can't read the store, or only slowly: a removed
// key is refused once the bound has passed since the store acknowledged its removal, at this
// router and at one that starts meanwhile, and public routes go on. When the store can be
// read again, keys that stay work.
//
// Fails if the age of the configuration is not checked, or is counted from the last read
// that failed.
func TestRemovedKeyIsRefusedWithoutTheStore(t *testing.T) {
	t.Parallel()
	for name, faults := range map[string]platformtest.StoreFaults{"down": {Down: true}, "unresponsive": {Unresponsive: true}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			in, upstreams, lines := newTenantInstallation(t, true, platformtest.UpstreamOptions{})
			status := func(path, key string) int { return in.call(get(path, key)).Status }
			if a, b := status("/read/a", key1), status("/read/a", key2); a != http.StatusOK || b != http.StatusOK {
				t.Fatalf("before the removal: %d %d", a, b)
			}
			in.store.SetFaults(faults)
			tenantConfig(2, []string{key1 + "-later"}, []string{key2}).Write(in.store)
			acknowledged := time.Now()
			for n := 0; time.Since(acknowledged) < 2*revokeWithin; n++ {
				c := get("/read/a", key1)
				sent := time.Now()
				r := in.call(c)
				if sent.Sub(acknowledged) >= revokeWithin && (r.Status != http.StatusServiceUnavailable || r.RetryAfter <= 0 || countRuns(upstreams, r.ID) != 0) {
					t.Fatalf("sent %v after the removal: %+v", sent.Sub(acknowledged), r)
				}
				if r.Duration > time.Second {
					t.Errorf("refused after %v", r.Duration)
				}
				if got := status("/open/a", ""); got != http.StatusOK {
					t.Fatalf("public route: %d", got)
				}
				time.Sleep(20 * time.Millisecond)
			}
			if got := status("/read/a", ""); got != http.StatusServiceUnavailable && got != http.StatusUnauthorized {
				t.Errorf("no key: %d", got)
			}
			if !lines.contains("configuration too old for requests with keys") {
				t.Error("the reason is not logged")
			}
			// A second router starts without any configuration.
			first := in.router
			in.runRouter()
			second := in.router
			for _, key := range []string{key1, key2, ""} {
				if got := status("/read/a", key); got != http.StatusServiceUnavailable {
					t.Errorf("router without a configuration: %d", got)
				}
			}
			in.store.SetFaults(platformtest.StoreFaults{})
			for _, in.router = range []string{first, second} {
				in.eventually("the key that stays works", func() bool { return status("/read/a", key2) == http.StatusOK })
				if got := status("/read/a", key1); got != http.StatusUnauthorized {
					t.Errorf("removed key: %d", got)
				}
				if got := status("/read/a", key1+"-later"); got != http.StatusOK {
					t.Errorf("added key: %d", got)
				}
			}
		})
	}
}

// A malformed configuration must not renew what the router knows: keys are refused once the
// newest valid one is too old. Without strict revocation the configuration in force stays.
//
// Fails if a read counts before its result is decoded.
func TestMalformedTenantsAreNoNewConfiguration(t *testing.T) {
	t.Parallel()
	for name, strict := range map[string]bool{"strict": true, "not strict": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			in, _, _ := newTenantInstallation(t, strict, platformtest.UpstreamOptions{})
			c := tenantConfig(2, []string{key1}, nil)
			c.Tenants[1].Name = ""
			c.Write(in.store)
			time.Sleep(revokeWithin + 300*time.Millisecond)
			want := http.StatusOK
			if strict {
				want = http.StatusServiceUnavailable
			}
			for range 20 {
				if r := in.call(get("/read/a", key2)); r.Status != want {
					t.Fatalf("got %+v, want %d", r, want)
				}
			}
			tenantConfig(3, []string{key1}, nil).Write(in.store)
			in.eventually("the removal takes effect", func() bool { return in.call(get("/read/a", key2)).Status == http.StatusUnauthorized })
			if r := in.call(get("/read/a", key1)); r.Status != http.StatusOK {
				t.Errorf("key that stays: %+v", r)
			}
		})
	}
}

// A store that is restored from an older copy must not give removed keys back, nor stop
// keys that it still has.
//
// Fails if the older configuration is adopted, or if a read of it refuses all keys.
func TestRestoredStoreGivesNoKeyBack(t *testing.T) {
	t.Parallel()
	in, _, _ := newTenantInstallation(t, true, platformtest.UpstreamOptions{})
	status := func(key string) int { return in.call(get("/read/a", key)).Status }
	copied := in.store.Copy()
	tenantConfig(2, []string{"t1-" + keyPart}, []string{key2}).Write(in.store)
	in.eventually("the key is removed", func() bool { return status(key1) == http.StatusUnauthorized })
	in.store.Restore(copied)
	restored := time.Now()
	for time.Since(restored) < revokeWithin+time.Second {
		if got := status(key1); got != http.StatusUnauthorized {
			t.Fatalf("removed key: %d", got)
		}
		if got := status(key2); got != http.StatusOK {
			t.Fatalf("key that stays: %d", got)
		}
		time.Sleep(20 * time.Millisecond)
	}
	// The store does not have this key, and did not within the bound.
	if got := status("t1-" + keyPart); got != http.StatusServiceUnavailable {
		t.Errorf("key that the store has lost: %d", got)
	}
	tenantConfig(3, []string{"t1-" + keyPart}, []string{key2}).Write(in.store)
	in.eventually("the key written again works", func() bool { return status("t1-"+keyPart) == http.StatusOK })
}

// Keys are added and removed among 10,000, each within the time for a change.
func TestTenThousandKeys(t *testing.T) {
	t.Parallel()
	in, upstreams, _ := newTenantInstallation(t, true, platformtest.UpstreamOptions{})
	keys := make([]string, 10000)
	for i := range keys {
		keys[i] = fmt.Sprintf("%s-%05d-0123456789abcdef", keyPart, i)
	}
	write := func(version int, all []string) time.Time {
		c := tenantConfig(version, nil, nil)
		c.Tenants = nil
		for i, part := range slices.Collect(slices.Chunk(all, 100)) {
			c.Tenants = append(c.Tenants, platformtest.Tenant{Name: fmt.Sprint("t", i), Keys: part})
		}
		c.Write(in.store)
		return time.Now()
	}
	at := write(2, keys)
	in.eventually("the keys are added", func() bool { return in.call(get("/read/a", keys[9999])).Status == http.StatusOK })
	if took := time.Since(at); took > 4*time.Second {
		t.Errorf("added after %v", took)
	}
	for i := 0; i < len(keys); i += 501 {
		c := get("/read/a", keys[i])
		c.ID = fmt.Sprint("t", i/100)
		if r := in.call(c); r.Status != http.StatusOK {
			t.Errorf("key %d: %+v", i, r)
		}
	}
	for _, a := range arrivals(upstreams) {
		if strings.HasPrefix(a.ID, "t") && !slices.Equal(a.Tenant, []string{a.ID}) {
			t.Errorf("%s arrived with X-Tenant %q", a.ID, a.Tenant)
		}
	}
	at = write(3, keys[:9999])
	in.eventually("the key is removed", func() bool { return in.call(get("/read/a", keys[9999])).Status == http.StatusUnauthorized })
	if took := time.Since(at); took > revokeWithin {
		t.Errorf("removed after %v", took)
	}
	if r := in.call(get("/read/a", keys[0])); r.Status != http.StatusOK {
		t.Errorf("key that stays: %+v", r)
	}
}

// Without tenants, callers need no key and what they send is forwarded.
func TestWithoutTenantsHeadersAreForwarded(t *testing.T) {
	t.Parallel()
	in, upstreams := newPlainInstallation(t, platformtest.UpstreamOptions{})
	if r := in.call(get("/read/a", key1)); r.Status != http.StatusOK {
		t.Fatalf("got %+v", r)
	}
	if a := arrivals(upstreams); len(a) != 1 || !slices.Equal(a[0].Authorization, []string{"Bearer " + key1}) || !slices.Equal(a[0].Tenant, []string{"forged"}) {
		t.Errorf("arrived: %+v", a)
	}
}
