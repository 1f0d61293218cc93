package ingress

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/uber-go/tally/v4"

	"github.com/laureltally/laureltally/fleet"
	"github.com/laureltally/laureltally/serving"
)

// keyHeader holds the key in these tests.
const keyHeader = "Test-Key"

type fakeProtocol struct{ Protocol }

func (fakeProtocol) ReadRequest(h http.Header) serving.RequestInfo {
	return serving.RequestInfo{ID: "r", Key: h.Get(keyHeader)}
}

func (fakeProtocol) RetryAfter(d time.Duration) string { return d.String() }

// fakeDirectory returns a configuration or an error.
type fakeDirectory struct {
	fleet.Directory
	config *serving.Config
	err    error
}

func (d *fakeDirectory) Config(context.Context) (*serving.Config, error) { return d.config, d.err }

// keyServer is a strict Server on a clock of the test.
type keyServer struct {
	*Server
	t         *testing.T
	now       time.Time
	directory *fakeDirectory
	log       *memory.Handler
	metrics   tally.TestScope
}

func newKeyServer(t *testing.T) *keyServer {
	t.Helper()
	k := &keyServer{t: t, now: time.Now(), directory: &fakeDirectory{}, log: memory.New(), metrics: tally.NewTestScope("", nil)}
	var err error
	k.Server, err = New(Options{
		Settings: completeSettings(4*time.Second, 5*time.Second), Directory: k.directory, Protocol: fakeProtocol{}, Metrics: k.metrics,
		Logger: &log.Logger{Handler: k.log, Level: log.InfoLevel}, Now: func() time.Time { return k.now },
	})
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// read makes one read that begins now and takes a time.
func (k *keyServer) read(took time.Duration) error {
	begun := k.now
	k.now = k.now.Add(took)
	return k.readConfig(k.t.Context(), begun)
}

// call returns the status, the logged reason and the header of the response. A request that
// is admitted is refused later, since there is no VM.
func (k *keyServer) call(path, key string) (status int, reason string, h http.Header) {
	k.t.Helper()
	r := httptest.NewRequest(http.MethodGet, path, nil)
	r.Host = "h.example"
	if key != "" {
		r.Header.Set(keyHeader, key)
	}
	w := httptest.NewRecorder()
	k.ServeHTTP(w, r)
	for _, e := range k.log.Entries {
		if e.Message == "request ended" {
			reason, _ = e.Fields["reason"].(string)
		}
	}
	return w.Code, reason, w.Header()
}

func (k *keyServer) admits(path, key string) bool {
	k.t.Helper()
	_, reason, _ := k.call(path, key)
	return strings.HasPrefix(reason, "no VM of")
}

func keyConfig(revision uint64, keys ...string) *serving.Config {
	target := []serving.Target{{Service: "s", Weight: 1}}
	return &serving.Config{
		Revision: revision, Number: revision, Keys: keyTable(keys...),
		Routes: []serving.Route{
			{Name: "closed", Host: "h.example", PathPrefix: "/closed/", Targets: target},
			{Name: "public", Host: "h.example", PathPrefix: "/public/", Targets: target, Public: true},
		},
	}
}

// Guards against a router that is paused, cut off from the store, or reads a malformed
// configuration, and admits keys that may have been removed meanwhile.
func TestKeysAreRefusedOnceTheReadIsTooOld(t *testing.T) {
	k := newKeyServer(t)
	if status, reason, _ := k.call("/closed/a", "a"); status != http.StatusServiceUnavailable || reason != "no configuration yet" {
		t.Errorf("before the first read: %d %s", status, reason)
	}
	k.directory.config = keyConfig(1, "a")
	if err := k.read(800 * time.Millisecond); err != nil {
		t.Fatal(err)
	}
	if !k.admits("/closed/a", "a") || !k.admits("/public/a", "") {
		t.Fatal("not admitted after a read")
	}
	if status, reason, h := k.call("/closed/a", "b"); status != http.StatusUnauthorized || reason != "missing or unknown key" || h.Get("WWW-Authenticate") != "Bearer" {
		t.Errorf("unknown key: %d %s %v", status, reason, h)
	}
	// 4.8 s after the beginning of the read.
	k.now = k.now.Add(4 * time.Second)
	if !k.admits("/closed/a", "a") {
		t.Error("refused too early")
	}
	k.directory.err = errors.New("malformed")
	if k.read(0) == nil {
		t.Fatal("no error")
	}
	k.now = k.now.Add(100 * time.Millisecond)
	status, reason, h := k.call("/closed/a", "a")
	if status != http.StatusServiceUnavailable || reason != "configuration too old for requests with keys" {
		t.Errorf("4.9 s after the read: %d %s", status, reason)
	}
	if d, err := time.ParseDuration(h.Get("Retry-After")); err != nil || d < minRetryAfter {
		t.Errorf("Retry-After is %q", h.Get("Retry-After"))
	}
	if status, reason, _ := k.call("/closed/a", ""); status != http.StatusServiceUnavailable || reason != "missing or unknown key and configuration stale" {
		t.Errorf("no key: %d %s", status, reason)
	}
	if !k.admits("/public/a", "a") || !k.admits("/public/a", "") {
		t.Error("a public route is not served")
	}
	// The next read shows that the key was removed.
	k.directory.config, k.directory.err = keyConfig(2, "b"), nil
	if err := k.read(0); err != nil {
		t.Fatal(err)
	}
	if status, _, _ := k.call("/closed/a", "a"); status != http.StatusUnauthorized {
		t.Errorf("removed key: %d", status)
	}
	if !k.admits("/closed/a", "b") {
		t.Error("the key of another tenant is refused")
	}
	counters := k.metrics.Snapshot().Counters()
	for name, want := range map[string]int64{"key_refusals+reason=config_too_old": 1, "key_refusals+reason=unknown_key": 2, "key_refusals+reason=unknown_key_stale": 1, "tenant_requests+status=5xx,tenant=a": 3} {
		if c := counters[name]; c == nil || c.Value() != want {
			t.Errorf("counter %s is %v, want %d", name, c, want)
		}
	}
}

// Guards against a restored store whose older configuration renews what the router knows:
// a key that it lacks is refused, one that it still has but that was removed stays removed.
func TestRestoredStoreAdmitsNoRemovedKey(t *testing.T) {
	k := newKeyServer(t)
	k.directory.config = keyConfig(5, "stays", "new")
	if err := k.read(0); err != nil {
		t.Fatal(err)
	}
	old := keyConfig(1<<36+4, "stays", "removed")
	old.Restores, old.Number = 1, 4
	k.directory.config = old
	if err := k.read(0); err != nil {
		t.Fatal(err)
	}
	if !k.admits("/closed/a", "stays") {
		t.Error("a key of both versions is refused")
	}
	if status, _, _ := k.call("/closed/a", "removed"); status != http.StatusUnauthorized {
		t.Errorf("removed key: %d", status)
	}
	if _, reason, _ := k.call("/closed/a", "new"); reason != "configuration too old for requests with keys" {
		t.Errorf("key that the store has lost: %s", reason)
	}
	// A configuration with a number that was used before is not adopted, but removes keys.
	low := keyConfig(1<<36+6, "new")
	low.Restores, low.Number = 1, 4
	k.directory.config = low
	if err := k.read(0); err != nil {
		t.Fatal(err)
	}
	if _, reason, _ := k.call("/closed/a", "stays"); reason != "configuration too old for requests with keys" {
		t.Errorf("key removed after the restore: %s", reason)
	}
	mended := keyConfig(1<<36+9, "stays", "new")
	mended.Restores, mended.Number = 1, 6
	k.directory.config = mended
	if err := k.read(0); err != nil {
		t.Fatal(err)
	}
	if !k.admits("/closed/a", "stays") || !k.admits("/closed/a", "new") {
		t.Error("refused after the operator has written again")
	}
}

// Guards against callers that all come back at once, before the read that they wait for.
func TestRetryAfterFollowsTheNextRead(t *testing.T) {
	k := newKeyServer(t)
	next := k.now.Add(1200 * time.Millisecond)
	k.nextConfigRead.Store(int64(k.sinceEpoch(next)))
	seen := make(map[time.Duration]bool)
	for range 100 {
		d := k.untilReread(k.now)
		if at := k.now.Add(d); at.Before(next) || at.After(next.Add(fraction(rereadSpread, k.o.PollInterval))) {
			t.Fatalf("%v, the next read is in 1.2 s", d)
		}
		seen[d] = true
	}
	if len(seen) < 50 {
		t.Errorf("%d different times for 100 callers", len(seen))
	}
	if d := k.untilReread(next.Add(time.Hour)); d < minRetryAfter || d > time.Second {
		t.Errorf("%v while a read is due", d)
	}
}

// Guards against ages that change when the wall clock is stepped: the time since the start
// of the server comes from the monotonic clock.
func TestAgesUseTheMonotonicClock(t *testing.T) {
	k := newKeyServer(t)
	for name, at := range map[string]time.Time{"epoch": k.epoch, "request": Options{}.withDefaults().Now()} {
		if !strings.Contains(at.String(), "m=") {
			t.Errorf("%s has no monotonic reading: %v", name, at)
		}
	}
}

// Guards against a request that is hashed by its key, or by a key that is not forwarded: the
// repeats of a tenant's request, with any of its keys, share their trait.
func TestTenantStandsForItsKeysInTheHash(t *testing.T) {
	hash := func(key string, authenticated bool, tenant string) uint64 {
		r := httptest.NewRequest(http.MethodGet, "/a", nil)
		r.Header.Set("Authorization", key)
		return newRequestHash(r, &serving.RequestInfo{}, authenticated, tenantOf(tenant).Name).Sum64()
	}
	if hash("Bearer 1", true, "t") != hash("Bearer 2", true, "t") {
		t.Error("two keys of one tenant differ")
	}
	if hash("Bearer 1", true, "t") == hash("Bearer 1", true, "u") {
		t.Error("two tenants share a trait")
	}
	if hash("Bearer 1", false, "") == hash("Bearer 2", false, "") {
		t.Error("two callers share a trait where there are no tenants")
	}
}
