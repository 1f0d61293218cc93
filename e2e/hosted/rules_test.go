package hosted

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/laureltally/laureltally/platform/platformtest"
)

// twoPlain is a world with two plain upstreams.
func twoPlain(t *testing.T, o platformtest.UpstreamOptions) (*world, [2]*platformtest.Upstream) {
	w := newWorld(t)
	plain(w, 1)
	var us [2]*platformtest.Upstream
	for i := range us {
		o.ID, o.Service = fmt.Sprintf("i-%d", i), "portal"
		us[i] = w.upstream(o)
	}
	w.startRouter()
	return w, us
}

func runs(us [2]*platformtest.Upstream, id string) int {
	n := 0
	for _, u := range us {
		for _, r := range u.Runs() {
			if r.ID == id {
				n++
			}
		}
	}
	return n
}

func always(b platformtest.Behavior) func(int, *http.Request) platformtest.Behavior {
	return func(int, *http.Request) platformtest.Behavior { return b }
}

func TestAnswerIsPassedOnUnchanged(t *testing.T) {
	t.Parallel()
	w, us := twoPlain(t, platformtest.UpstreamOptions{})
	c := platformtest.Call{Path: "/order/a//b%2Fc?x=1&y=%20", Body: "the body"}
	r := w.call(c)
	if r.Status != http.StatusOK || !r.Sealed || r.Body != "answer to "+r.ID {
		t.Fatalf("got %+v", r)
	}
	all := append(us[0].Runs(), us[1].Runs()...)
	if len(all) != 1 || all[0].Target != c.Path || all[0].Body != c.Body || all[0].Method != http.MethodPost {
		t.Errorf("ran %+v", all)
	}
}

// TWICE and REFUSED: a request that must not repeat and may have run is never
// sent again, and is never said not to have run.
func TestUnrepeatableRequestRunsAtMostOnce(t *testing.T) {
	t.Parallel()
	for name, b := range map[string]platformtest.Behavior{
		"answer lost":   {DropResponse: true},
		"answer cut":    {TruncateBody: true},
		"no seal":       {NoSeal: true},
		"own failure":   {Fail: true},
		"never answers": {Hang: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w, us := twoPlain(t, platformtest.UpstreamOptions{})
			for _, u := range us {
				u.SetBehavior(always(b))
			}
			r := w.call(platformtest.Call{Path: "/order/a", Body: "x"})
			if n := runs(us, r.ID); n != 1 {
				t.Errorf("ran %d times", n)
			}
			switch r.Status {
			case http.StatusBadGateway, http.StatusGatewayTimeout, http.StatusInternalServerError:
			default:
				t.Errorf("got %+v", r)
			}
			if r.Duration > 2*time.Second {
				t.Errorf("answered after %v, the route allows 1.5 s", r.Duration)
			}
		})
	}
}

func TestDeclinedRequestIsRefusedWithATimeToComeBack(t *testing.T) {
	t.Parallel()
	w, us := twoPlain(t, platformtest.UpstreamOptions{})
	for _, u := range us {
		u.SetBehavior(always(platformtest.Behavior{Decline: true}))
	}
	r := w.call(platformtest.Call{Path: "/order/a", Body: "x", Timeout: 3 * time.Second})
	if r.Status != http.StatusServiceUnavailable || r.RetryAfter <= 0 || r.RetryAfter > time.Second || runs(us, r.ID) != 0 {
		t.Errorf("got %+v", r)
	}
}

func TestIdempotentRequestIsSentToAnotherVM(t *testing.T) {
	t.Parallel()
	w, us := twoPlain(t, platformtest.UpstreamOptions{})
	failed := false
	for _, u := range us {
		u.SetBehavior(func(int, *http.Request) platformtest.Behavior {
			b := platformtest.Behavior{DropResponse: !failed}
			failed = true
			return b
		})
	}
	r := w.call(platformtest.Call{Method: http.MethodGet, Path: "/read/a"})
	if r.Status != http.StatusOK || runs(us, r.ID) != 2 {
		t.Errorf("got %+v, %d runs", r, runs(us, r.ID))
	}
}

// BUDGET: no request is sent to more VMs than its route allows, however many
// fail, and what is left of its time is passed on.
func TestAttemptsAreBounded(t *testing.T) {
	t.Parallel()
	w, us := twoPlain(t, platformtest.UpstreamOptions{})
	for _, u := range us {
		u.SetBehavior(always(platformtest.Behavior{DropResponse: true}))
	}
	third := w.upstream(platformtest.UpstreamOptions{ID: "i-2", Service: "portal"})
	third.SetBehavior(always(platformtest.Behavior{DropResponse: true}))
	time.Sleep(600 * time.Millisecond)
	for range 30 {
		r := w.call(platformtest.Call{Method: http.MethodGet, Path: "/read/a", Timeout: time.Second})
		n := runs(us, r.ID)
		for _, run := range third.Runs() {
			if run.ID == r.ID {
				n++
			}
		}
		if n < 1 || n > 2 || r.Status != http.StatusBadGateway {
			t.Fatalf("got %+v after %d runs", r, n)
		}
	}
	for _, run := range append(us[0].Runs(), us[1].Runs()...) {
		if run.Timeout <= 0 || run.Timeout > time.Second {
			t.Errorf("an upstream was told %v", run.Timeout)
		}
	}
	if n := us[0].RequestCount() + us[1].RequestCount() + third.RequestCount(); n > 30+6+6 {
		t.Errorf("%d arrivals for 30 requests without any success", n)
	}
}

// ORDER: a stream that breaks goes on at another VM after the last whole event.
func TestStreamIsResumedWithoutGapOrRepeat(t *testing.T) {
	t.Parallel()
	w, us := twoPlain(t, platformtest.UpstreamOptions{Events: 10})
	for _, u := range us {
		u.SetBehavior(func(_ int, r *http.Request) platformtest.Behavior {
			if r.Header.Get("Last-Event-Id") == "" {
				return platformtest.Behavior{TruncateAfter: 4}
			}
			return platformtest.Behavior{}
		})
	}
	r := w.call(platformtest.Call{Path: "/outlook/a", Body: "x"})
	want := ""
	for i := range 10 {
		want += fmt.Sprintf("id: %d\ndata: %d of %s\n\n", i+1, i+1, r.ID)
	}
	if r.Status != http.StatusOK || !r.Complete || r.Body != want {
		t.Errorf("got %+v", r)
	}
}

// MIXED: an answer that ends early must not look complete.
func TestBrokenStreamDoesNotLookComplete(t *testing.T) {
	t.Parallel()
	w, us := twoPlain(t, platformtest.UpstreamOptions{Events: 10})
	for _, u := range us {
		u.SetBehavior(always(platformtest.Behavior{TruncateAfter: 4}))
	}
	r := w.call(platformtest.Call{Path: "/draft/a", Body: "x"})
	if r.Complete || strings.Contains(r.Body, "id: 5") {
		t.Errorf("got %+v", r)
	}
	if n := runs(us, r.ID); n != 1 {
		t.Errorf("a stream that is not resumable ran %d times", n)
	}
}

// GONE: the upstream is left as soon as the caller leaves.
func TestUpstreamIsLeftWithItsCaller(t *testing.T) {
	t.Parallel()
	w, us := twoPlain(t, platformtest.UpstreamOptions{Events: 10})
	for _, u := range us {
		u.SetBehavior(always(platformtest.Behavior{Hang: true}))
	}
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	platformtest.Call{Host: host, Path: "/draft/a", Body: "x"}.Do(ctx, w.client, w.router)
	left := time.Now()
	w.eventually("no upstream works on", func() bool { return us[0].InFlight()+us[1].InFlight() == 0 })
	if d := time.Since(left); d > 500*time.Millisecond {
		t.Errorf("the upstream worked on for %v", d)
	}
}

// ROUTE: an address that belongs to another VM now runs nothing.
func TestReusedAddressRunsNothing(t *testing.T) {
	t.Parallel()
	w, us := twoPlain(t, platformtest.UpstreamOptions{ProcessingTime: 30 * time.Millisecond})
	us[0].SetID("i-other")
	for _, r := range w.burst(24, platformtest.Call{Method: http.MethodGet, Path: "/read/a"}) {
		if r.Status != http.StatusOK && r.Status != http.StatusServiceUnavailable {
			t.Fatalf("got %+v", r)
		}
	}
	if us[0].RequestCount() == 0 {
		t.Fatal("the address was not tried")
	}
	if n := len(us[0].Runs()); n != 0 {
		t.Errorf("%d requests ran at the wrong VM", n)
	}
}

// DRAIN: a leaving VM gets no new requests soon after it said so.
func TestLeavingVMGetsNoNewRequests(t *testing.T) {
	t.Parallel()
	w, us := twoPlain(t, platformtest.UpstreamOptions{ProcessingTime: 30 * time.Millisecond})
	w.burst(24, platformtest.Call{Method: http.MethodGet, Path: "/read/a"})
	before := us[0].RequestCount()
	if before == 0 {
		t.Fatal("not used before it leaves")
	}
	us[0].Register(w.store, "draining")
	time.Sleep(time.Second)
	for _, r := range w.burst(24, platformtest.Call{Method: http.MethodGet, Path: "/read/a"}) {
		if r.Status != http.StatusOK {
			t.Fatalf("got %+v", r)
		}
	}
	if n := us[0].RequestCount() - before; n != 0 {
		t.Errorf("%d requests reached the leaving VM", n)
	}
}

// Entries of other writers name no VM to use and hide none.
func TestMalformedEntriesAreLeftOut(t *testing.T) {
	t.Parallel()
	w, us := twoPlain(t, platformtest.UpstreamOptions{})
	for i, text := range []string{
		`"not an object"`, `{}`, `{"service":7}`, `not json`, `null`,
		`{"service":"portal","address":"nowhere","zone":"z1","slots":4,"state":"ready","seq":1}`,
		`{"service":"portal","address":"127.0.0.1:1","zone":"z1","slots":4,"state":"asleep","seq":1}`,
		`{"service":"portal","address":"127.0.0.1:1","zone":"z9","slots":4,"state":"ready","seq":1}`,
		`{"service":"portal","address":"127.0.0.1:1","zone":"z1","slots":4,"state":"ready","seq":1,"born":1.5}`,
	} {
		w.store.SetServer(fmt.Sprintf("a-%d", i), text)
	}
	time.Sleep(600 * time.Millisecond)
	for range 10 {
		if r := w.call(platformtest.Call{Method: http.MethodGet, Path: "/read/a"}); r.Status != http.StatusOK {
			t.Fatalf("got %+v", r)
		}
	}
	if us[0].RequestCount()+us[1].RequestCount() != 10 {
		t.Error("requests went elsewhere")
	}
}

// CONFIG: a new version is in force within a second, and an outage of the store
// neither loses it nor makes the process forget.
func TestConfigurationFollowsTheStore(t *testing.T) {
	t.Parallel()
	w, _ := twoPlain(t, platformtest.UpstreamOptions{})
	added := platformtest.Call{Method: http.MethodGet, Path: "/new/a"}
	if r := w.call(added); r.Status != http.StatusNotFound {
		t.Fatalf("got %+v", r)
	}
	c := plain(w, 1)
	c.Version = 2
	route := idempotent("portal")
	route.Prefix = "/new/"
	c.Routes = append(c.Routes, route)
	c.Write(w.store)
	written := time.Now()
	w.eventually("the new route is served", func() bool { return w.call(added).Status == http.StatusOK })
	if d := time.Since(written); d > time.Second {
		t.Errorf("in force after %v", d)
	}
	w.store.SetFaults(platformtest.StoreFaults{Down: true})
	time.Sleep(500 * time.Millisecond)
	if r := w.call(added); r.Status != http.StatusOK {
		t.Errorf("during an outage: %+v", r)
	}
}

// A process that has lost touch can't say that a route is missing.
func TestUnknownRouteIsNotMissingWhileTheStoreIsAway(t *testing.T) {
	t.Parallel()
	w, _ := twoPlain(t, platformtest.UpstreamOptions{})
	w.store.SetFaults(platformtest.StoreFaults{Down: true})
	w.eventually("unknown routes are refused", func() bool {
		return w.call(platformtest.Call{Method: http.MethodGet, Path: "/unknown/a"}).Status == http.StatusServiceUnavailable
	})
}

// Registrations that expire while the store is away are no reason to leave a VM.
func TestOutageOfTheStoreLosesNoVM(t *testing.T) {
	t.Parallel()
	w, us := twoPlain(t, platformtest.UpstreamOptions{})
	w.store.SetFaults(platformtest.StoreFaults{Unresponsive: true})
	time.Sleep(3 * time.Second)
	w.store.RemoveServer("i-0")
	w.store.RemoveServer("i-1")
	w.store.SetFaults(platformtest.StoreFaults{})
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if r := w.call(platformtest.Call{Method: http.MethodGet, Path: "/read/a"}); r.Status != http.StatusOK {
			t.Fatalf("got %+v", r)
		}
	}
	us[0].Register(w.store, "ready")
	time.Sleep(2500 * time.Millisecond)
	before := us[1].RequestCount()
	for range 10 {
		w.call(platformtest.Call{Method: http.MethodGet, Path: "/read/a"})
	}
	if n := us[1].RequestCount() - before; n != 0 {
		t.Errorf("%d requests went to a VM that did not come back", n)
	}
}

// LOST: a graceful stop answers every request that was read.
func TestStopLosesNoRequest(t *testing.T) {
	t.Parallel()
	w, us := twoPlain(t, platformtest.UpstreamOptions{ProcessingTime: 300 * time.Millisecond})
	replies := make(chan platformtest.Reply, 100)
	for range 20 {
		go func() { replies <- w.call(platformtest.Call{Path: "/order/a", Body: "x"}) }()
	}
	w.eventually("all requests run", func() bool { return us[0].RequestCount()+us[1].RequestCount() == 20 })
	w.stop()
	w.eventually("a stopping router is not ready", func() bool { return !w.ready() })
	late := w.call(platformtest.Call{Path: "/order/a", Body: "x"})
	if late.Status != http.StatusOK || !late.Close {
		t.Errorf("a request before the balancer has noticed: %+v", late)
	}
	for range 20 {
		if r := <-replies; r.Status != http.StatusOK {
			t.Errorf("got %+v", r)
		}
	}
}

// UNASKED: bytes of a body are never taken for a request.
func TestSmuggledRequestIsNotRun(t *testing.T) {
	t.Parallel()
	w, us := twoPlain(t, platformtest.UpstreamOptions{})
	inner := "POST /order/smuggled HTTP/1.1\r\nHost: " + host + "\r\n" + platformtest.HeaderRequestID + ": smuggled\r\nContent-Length: 0\r\n\r\n"
	for _, head := range []string{
		"Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
		"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
		"Content-Length: 4\r\nContent-Length: 99\r\n",
		"Transfer-Encoding: xchunked\r\n",
	} {
		c, err := net.Dial("tcp4", w.router)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(c, "POST /order/a HTTP/1.1\r\nHost: %s\r\n"+platformtest.HeaderRequestID+": outer\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", host, head, len(inner), inner)
		_ = c.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
		_, _ = io.ReadAll(c)
		c.Close()
	}
	if n := runs(us, "smuggled"); n != 0 {
		t.Errorf("ran %d times", n)
	}
}

func TestHeadersOfTheSystemAreNotTheCallers(t *testing.T) {
	t.Parallel()
	w, us := twoPlain(t, platformtest.UpstreamOptions{})
	seen := make(chan http.Header, 1)
	for _, u := range us {
		u.SetBehavior(func(_ int, r *http.Request) platformtest.Behavior {
			seen <- r.Header.Clone()
			return platformtest.Behavior{}
		})
	}
	sent := platformtest.SystemHeaders()
	sent.Set(platformtest.HeaderExpectedVM, "i-9")
	sent.Set("X-Mine", "kept")
	sent.Set("Keep-Alive", "dropped")
	w.call(platformtest.Call{Path: "/order/a", Body: "x", Header: sent})
	h := <-seen
	for name := range platformtest.SystemHeaders() {
		if h.Get(name) != "" {
			t.Errorf("%s was passed on", name)
		}
	}
	if h.Get("Keep-Alive") != "" {
		t.Error("a header of one connection was passed on")
	}
	if h.Get("X-Mine") != "kept" || h.Get(platformtest.HeaderExpectedVM) == "i-9" {
		t.Errorf("got %v", h)
	}
}

func TestLimitsOfTheConfiguration(t *testing.T) {
	t.Parallel()
	w, us := twoPlain(t, platformtest.UpstreamOptions{})
	long := platformtest.Call{Path: "/order/a", Body: "x", Header: http.Header{"X-Long": {strings.Repeat("x", 5000)}}}
	if r := w.call(long); r.Status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("header: %+v", r)
	}
	if r := w.call(platformtest.Call{Path: "/order/a", Body: strings.Repeat("x", 1<<20+1)}); r.Status != http.StatusRequestEntityTooLarge {
		t.Errorf("body: %d %v", r.Status, r.Err)
	}
	if r := w.call(platformtest.Call{Path: "/order/a", Body: strings.Repeat("x", 1<<20)}); r.Status != http.StatusOK {
		t.Errorf("body at the limit: %d %v", r.Status, r.Err)
	}
	if us[0].RequestCount()+us[1].RequestCount() != 1 {
		t.Error("a request over a limit was passed on")
	}
}
