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

// newPlainInstallation returns an installation with two upstreams without models.
func newPlainInstallation(t *testing.T, o platformtest.UpstreamOptions) (*installation, [2]*platformtest.Upstream) {
	in := newInstallation(t)
	return in, startPlain(in, o)
}

// startPlain starts two plain upstreams with options, and a router.
func startPlain(in *installation, o platformtest.UpstreamOptions) (upstreams [2]*platformtest.Upstream) {
	in.t.Helper()
	writePlainConfig(in, 1)
	for i := range upstreams {
		o.ID, o.Service = fmt.Sprintf("i-%d", i), "portal"
		upstreams[i] = in.upstream(o)
	}
	in.startRouter()
	return upstreams
}

func countRuns(upstreams [2]*platformtest.Upstream, id string) int {
	n := 0
	for _, u := range upstreams {
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

func TestResponseIsForwardedUnchanged(t *testing.T) {
	t.Parallel()
	in, upstreams := newPlainInstallation(t, platformtest.UpstreamOptions{})
	c := platformtest.Call{Path: "/order/a//b%2Fc?x=1&y=%20", Body: "the body"}
	r := in.call(c)
	if r.Status != http.StatusOK || !r.Sealed || r.Body != "answer to "+r.ID {
		t.Fatalf("got %+v", r)
	}
	all := append(upstreams[0].Runs(), upstreams[1].Runs()...)
	if len(all) != 1 || all[0].Target != c.Path || all[0].Body != c.Body || all[0].Method != http.MethodPost {
		t.Errorf("ran %+v", all)
	}
}

// Rules TWICE and REFUSED: a non-idempotent request that may have run is never sent
// again, and its response never says that it has not run.
func TestNonIdempotentRequestRunsAtMostOnce(t *testing.T) {
	t.Parallel()
	for name, b := range map[string]platformtest.Behavior{
		"response lost":      {DropResponse: true},
		"response truncated": {TruncateBody: true},
		"no seal":            {NoSeal: true},
		"upstream fails":     {Fail: true},
		"no response":        {Hang: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			in, upstreams := newPlainInstallation(t, platformtest.UpstreamOptions{})
			for _, u := range upstreams {
				u.SetBehavior(always(b))
			}
			r := in.call(platformtest.Call{Path: "/order/a", Body: "x"})
			if n := countRuns(upstreams, r.ID); n != 1 {
				t.Errorf("ran %d times", n)
			}
			switch r.Status {
			case http.StatusBadGateway, http.StatusGatewayTimeout, http.StatusInternalServerError:
			default:
				t.Errorf("got %+v", r)
			}
			if r.Duration > 2*time.Second {
				t.Errorf("response after %v, the route allows 1.5 s", r.Duration)
			}
		})
	}
}

func TestDeclinedRequestIsRefusedWithRetryAfter(t *testing.T) {
	t.Parallel()
	in, upstreams := newPlainInstallation(t, platformtest.UpstreamOptions{})
	for _, u := range upstreams {
		u.SetBehavior(always(platformtest.Behavior{Decline: true}))
	}
	r := in.call(platformtest.Call{Path: "/order/a", Body: "x", Timeout: 3 * time.Second})
	if r.Status != http.StatusServiceUnavailable || r.RetryAfter <= 0 || r.RetryAfter > time.Second || countRuns(upstreams, r.ID) != 0 {
		t.Errorf("got %+v", r)
	}
}

func TestIdempotentRequestIsSentToAnotherVM(t *testing.T) {
	t.Parallel()
	in, upstreams := newPlainInstallation(t, platformtest.UpstreamOptions{})
	failed := false
	for _, u := range upstreams {
		u.SetBehavior(func(int, *http.Request) platformtest.Behavior {
			b := platformtest.Behavior{DropResponse: !failed}
			failed = true
			return b
		})
	}
	r := in.call(platformtest.Call{Method: http.MethodGet, Path: "/read/a"})
	if r.Status != http.StatusOK || countRuns(upstreams, r.ID) != 2 {
		t.Errorf("got %+v, %d runs", r, countRuns(upstreams, r.ID))
	}
}

// Rule BUDGET: no request is sent to more VMs than its route allows, even if all
// fail, and upstreams get the remaining time of the request.
func TestAttemptsAreBounded(t *testing.T) {
	t.Parallel()
	in, upstreams := newPlainInstallation(t, platformtest.UpstreamOptions{})
	for _, u := range upstreams {
		u.SetBehavior(always(platformtest.Behavior{DropResponse: true}))
	}
	third := in.upstream(platformtest.UpstreamOptions{ID: "i-2", Service: "portal"})
	third.SetBehavior(always(platformtest.Behavior{DropResponse: true}))
	time.Sleep(600 * time.Millisecond)
	for range 30 {
		r := in.call(platformtest.Call{Method: http.MethodGet, Path: "/read/a", Timeout: time.Second})
		n := countRuns(upstreams, r.ID)
		for _, run := range third.Runs() {
			if run.ID == r.ID {
				n++
			}
		}
		if n < 1 || n > 2 || r.Status != http.StatusBadGateway {
			t.Fatalf("got %+v after %d runs", r, n)
		}
	}
	for _, run := range append(upstreams[0].Runs(), upstreams[1].Runs()...) {
		if run.Timeout <= 0 || run.Timeout > time.Second {
			t.Errorf("an upstream got a remaining time of %v", run.Timeout)
		}
	}
	if n := upstreams[0].RequestCount() + upstreams[1].RequestCount() + third.RequestCount(); n > 30+6+6 {
		t.Errorf("%d arrivals for 30 requests without any success", n)
	}
}

// Rule ORDER: a broken stream is resumed at another VM after the last complete
// event.
func TestStreamIsResumedWithoutGapOrDuplicate(t *testing.T) {
	t.Parallel()
	in, upstreams := newPlainInstallation(t, platformtest.UpstreamOptions{Events: 10})
	for _, u := range upstreams {
		u.SetBehavior(func(_ int, r *http.Request) platformtest.Behavior {
			if r.Header.Get("Last-Event-Id") == "" {
				return platformtest.Behavior{TruncateAfter: 4}
			}
			return platformtest.Behavior{}
		})
	}
	r := in.call(platformtest.Call{Path: "/outlook/a", Body: "x"})
	want := ""
	for i := range 10 {
		want += fmt.Sprintf("id: %d\ndata: %d of %s\n\n", i+1, i+1, r.ID)
	}
	if r.Status != http.StatusOK || !r.Complete || r.Body != want {
		t.Errorf("got %+v", r)
	}
}

// Rule MIXED: a response that ends early must not look complete.
func TestBrokenStreamDoesNotLookComplete(t *testing.T) {
	t.Parallel()
	in, upstreams := newPlainInstallation(t, platformtest.UpstreamOptions{Events: 10})
	for _, u := range upstreams {
		u.SetBehavior(always(platformtest.Behavior{TruncateAfter: 4}))
	}
	r := in.call(platformtest.Call{Path: "/draft/a", Body: "x"})
	if r.Complete || strings.Contains(r.Body, "id: 5") {
		t.Errorf("got %+v", r)
	}
	if n := countRuns(upstreams, r.ID); n != 1 {
		t.Errorf("a stream that is not resumable ran %d times", n)
	}
}

// Rule GONE: an upstream request is aborted as soon as its caller disconnects.
func TestUpstreamRequestIsAbortedWhenCallerDisconnects(t *testing.T) {
	t.Parallel()
	in, upstreams := newPlainInstallation(t, platformtest.UpstreamOptions{Events: 10})
	for _, u := range upstreams {
		u.SetBehavior(always(platformtest.Behavior{Hang: true}))
	}
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	platformtest.Call{Host: host, Path: "/draft/a", Body: "x"}.Do(ctx, in.client, in.router)
	disconnected := time.Now()
	in.eventually("no upstream runs a request", func() bool { return upstreams[0].InFlight()+upstreams[1].InFlight() == 0 })
	if d := time.Since(disconnected); d > 500*time.Millisecond {
		t.Errorf("the upstream still ran the request %v after the caller disconnected", d)
	}
}

// Rule ROUTE: a VM that has taken over the address of another one runs none of its
// requests.
func TestReusedAddressRunsNothing(t *testing.T) {
	t.Parallel()
	in, upstreams := newPlainInstallation(t, platformtest.UpstreamOptions{ProcessingTime: 30 * time.Millisecond})
	upstreams[0].SetID("i-other")
	for _, r := range in.callConcurrently(24, platformtest.Call{Method: http.MethodGet, Path: "/read/a"}) {
		if r.Status != http.StatusOK && r.Status != http.StatusServiceUnavailable {
			t.Fatalf("got %+v", r)
		}
	}
	if upstreams[0].RequestCount() == 0 {
		t.Fatal("the address was not tried")
	}
	if n := len(upstreams[0].Runs()); n != 0 {
		t.Errorf("%d requests ran at the wrong VM", n)
	}
}

// Rule DRAIN: a VM gets no new requests soon after it has started to drain.
func TestDrainingVMGetsNoNewRequests(t *testing.T) {
	t.Parallel()
	in, upstreams := newPlainInstallation(t, platformtest.UpstreamOptions{ProcessingTime: 30 * time.Millisecond})
	in.callConcurrently(24, platformtest.Call{Method: http.MethodGet, Path: "/read/a"})
	before := upstreams[0].RequestCount()
	if before == 0 {
		t.Fatal("got no requests before it drained")
	}
	upstreams[0].Register(in.store, "draining")
	time.Sleep(time.Second)
	for _, r := range in.callConcurrently(24, platformtest.Call{Method: http.MethodGet, Path: "/read/a"}) {
		if r.Status != http.StatusOK {
			t.Fatalf("got %+v", r)
		}
	}
	if n := upstreams[0].RequestCount() - before; n != 0 {
		t.Errorf("%d requests reached the draining VM", n)
	}
}

// Malformed entries of the server list are not used as VMs, and do not affect valid
// entries.
func TestMalformedEntriesAreIgnored(t *testing.T) {
	t.Parallel()
	in, upstreams := newPlainInstallation(t, platformtest.UpstreamOptions{})
	for i, text := range []string{
		`"not an object"`, `{}`, `{"service":7}`, `not json`, `null`,
		`{"service":"portal","address":"nowhere","zone":"z1","slots":4,"state":"ready","seq":1}`,
		`{"service":"portal","address":"127.0.0.1:1","zone":"z1","slots":4,"state":"asleep","seq":1}`,
		`{"service":"portal","address":"127.0.0.1:1","zone":"z9","slots":4,"state":"ready","seq":1}`,
		`{"service":"portal","address":"127.0.0.1:1","zone":"z1","slots":4,"state":"ready","seq":1,"born":1.5}`,
	} {
		in.store.SetServer(fmt.Sprintf("a-%d", i), text)
	}
	time.Sleep(600 * time.Millisecond)
	for range 10 {
		if r := in.call(platformtest.Call{Method: http.MethodGet, Path: "/read/a"}); r.Status != http.StatusOK {
			t.Fatalf("got %+v", r)
		}
	}
	if upstreams[0].RequestCount()+upstreams[1].RequestCount() != 10 {
		t.Error("not all requests reached the valid VMs")
	}
}

// Rule CONFIG: a new version is in use within a second, and stays in use during an
// outage of the store.
func TestConfigurationFollowsTheStore(t *testing.T) {
	t.Parallel()
	in, _ := newPlainInstallation(t, platformtest.UpstreamOptions{})
	added := platformtest.Call{Method: http.MethodGet, Path: "/new/a"}
	if r := in.call(added); r.Status != http.StatusNotFound {
		t.Fatalf("got %+v", r)
	}
	c := writePlainConfig(in, 1)
	c.Version = 2
	route := idempotent("portal")
	route.Prefix = "/new/"
	c.Routes = append(c.Routes, route)
	c.Write(in.store)
	written := time.Now()
	in.eventually("the new route is served", func() bool { return in.call(added).Status == http.StatusOK })
	if d := time.Since(written); d > time.Second {
		t.Errorf("in use after %v", d)
	}
	in.store.SetFaults(platformtest.StoreFaults{Down: true})
	time.Sleep(500 * time.Millisecond)
	if r := in.call(added); r.Status != http.StatusOK {
		t.Errorf("during an outage: %+v", r)
	}
}

// While the store is unavailable, a router must not respond that a route does not
// exist: its configuration may be old.
func TestUnknownRouteIsRefusedDuringStoreOutage(t *testing.T) {
	t.Parallel()
	in, _ := newPlainInstallation(t, platformtest.UpstreamOptions{})
	in.store.SetFaults(platformtest.StoreFaults{Down: true})
	in.eventually("unknown routes are refused", func() bool {
		return in.call(platformtest.Call{Method: http.MethodGet, Path: "/unknown/a"}).Status == http.StatusServiceUnavailable
	})
}

// A VM whose registration expires during an outage of the store stays in use for a
// grace period after the outage. It is removed if it does not register again in
// that time.
func TestStoreOutageRemovesNoVM(t *testing.T) {
	t.Parallel()
	in, upstreams := newPlainInstallation(t, platformtest.UpstreamOptions{})
	in.store.SetFaults(platformtest.StoreFaults{Unresponsive: true})
	time.Sleep(3 * time.Second)
	in.store.RemoveServer("i-0")
	in.store.RemoveServer("i-1")
	in.store.SetFaults(platformtest.StoreFaults{})
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if r := in.call(platformtest.Call{Method: http.MethodGet, Path: "/read/a"}); r.Status != http.StatusOK {
			t.Fatalf("got %+v", r)
		}
	}
	upstreams[0].Register(in.store, "ready")
	time.Sleep(2500 * time.Millisecond)
	before := upstreams[1].RequestCount()
	for range 10 {
		in.call(platformtest.Call{Method: http.MethodGet, Path: "/read/a"})
	}
	if n := upstreams[1].RequestCount() - before; n != 0 {
		t.Errorf("%d requests went to a VM that did not register again", n)
	}
}

// Rule DRAIN: guards against requests to a VM that leaves soon after an outage of the store,
// when it has been listed again.
func TestVMThatLeavesAfterStoreOutageGetsNoRequests(t *testing.T) {
	t.Parallel()
	in, upstreams := newPlainInstallation(t, platformtest.UpstreamOptions{ProcessingTime: 30 * time.Millisecond})
	in.store.SetFaults(platformtest.StoreFaults{Down: true})
	time.Sleep(3 * time.Second)
	in.store.SetFaults(platformtest.StoreFaults{})
	time.Sleep(700 * time.Millisecond)
	in.store.RemoveServer("i-0")
	time.Sleep(700 * time.Millisecond)
	before := upstreams[0].RequestCount()
	for _, r := range in.callConcurrently(24, platformtest.Call{Method: http.MethodGet, Path: "/read/a"}) {
		if r.Status != http.StatusOK {
			t.Fatalf("got %+v", r)
		}
	}
	if n := upstreams[0].RequestCount() - before; n != 0 {
		t.Errorf("%d requests reached the VM that has left", n)
	}
}

// Rule LOST: during a graceful shutdown, every request that was read gets a
// response.
func TestStopLosesNoRequest(t *testing.T) {
	t.Parallel()
	in, upstreams := newPlainInstallation(t, platformtest.UpstreamOptions{ProcessingTime: 300 * time.Millisecond})
	replies := make(chan platformtest.Reply, 100)
	for range 20 {
		go func() { replies <- in.call(platformtest.Call{Path: "/order/a", Body: "x"}) }()
	}
	in.eventually("all requests run", func() bool { return upstreams[0].RequestCount()+upstreams[1].RequestCount() == 20 })
	in.stop()
	in.eventually("a stopping router is not ready", func() bool { return !in.ready() })
	late := in.call(platformtest.Call{Path: "/order/a", Body: "x"})
	if late.Status != http.StatusOK || !late.Close {
		t.Errorf("request before the load balancer stops sending: %+v", late)
	}
	for range 20 {
		if r := <-replies; r.Status != http.StatusOK {
			t.Errorf("got %+v", r)
		}
	}
}

// All routers of a zone are restarted shortly after one another, so that callers keep
// arriving at stopping ones: they get a response up to the exit, and what can't be
// answered before it is refused and not run.
func TestStoppingRouterRespondsUntilItExits(t *testing.T) {
	t.Parallel()
	in, upstreams := newPlainInstallation(t, platformtest.UpstreamOptions{ProcessingTime: 100 * time.Millisecond})
	in.stop()
	in.eventually("a stopping router is not ready", func() bool { return !in.ready() })
	served, refused, exiting := 0, 0, false
	for i := 0; !exiting; i++ {
		id := fmt.Sprint("late-", i)
		r := in.call(platformtest.Call{ID: id, Path: "/order/a", Body: "x"})
		switch {
		case r.Status == http.StatusOK:
			served++
		case r.Status == http.StatusServiceUnavailable:
			refused++
			if n := countRuns(upstreams, id); n != 0 {
				t.Errorf("refused request ran %d times", n)
			}
		default:
			// The router has to exit as soon as it no longer responds.
			exiting = true
			select {
			case <-in.stopped:
			case <-time.After(500 * time.Millisecond):
				t.Errorf("request %d: %+v although the router still runs", i, r)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	if served == 0 || refused == 0 {
		t.Errorf("%d served, %d refused", served, refused)
	}
}

// Rule UNASKED: the bytes of a body are never parsed as a request (request
// smuggling).
func TestSmuggledRequestIsNotRun(t *testing.T) {
	t.Parallel()
	in, upstreams := newPlainInstallation(t, platformtest.UpstreamOptions{})
	inner := "POST /order/smuggled HTTP/1.1\r\nHost: " + host + "\r\n" + platformtest.HeaderRequestID + ": smuggled\r\nContent-Length: 0\r\n\r\n"
	for _, head := range []string{
		"Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
		"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
		"Content-Length: 4\r\nContent-Length: 99\r\n",
		"Transfer-Encoding: xchunked\r\n",
	} {
		c, err := net.Dial("tcp4", in.router)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(c, "POST /order/a HTTP/1.1\r\nHost: %s\r\n"+platformtest.HeaderRequestID+": outer\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", host, head, len(inner), inner)
		_ = c.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
		_, _ = io.ReadAll(c)
		c.Close()
	}
	if n := countRuns(upstreams, "smuggled"); n != 0 {
		t.Errorf("ran %d times", n)
	}
}

func TestSystemHeadersOfCallersAreDropped(t *testing.T) {
	t.Parallel()
	in, upstreams := newPlainInstallation(t, platformtest.UpstreamOptions{})
	seen := make(chan http.Header, 1)
	for _, u := range upstreams {
		u.SetBehavior(func(_ int, r *http.Request) platformtest.Behavior {
			seen <- r.Header.Clone()
			return platformtest.Behavior{}
		})
	}
	sent := platformtest.SystemHeaders()
	sent.Set(platformtest.HeaderExpectedVM, "i-9")
	sent.Set("X-Mine", "kept")
	sent.Set("Keep-Alive", "dropped")
	in.call(platformtest.Call{Path: "/order/a", Body: "x", Header: sent})
	h := <-seen
	for name := range platformtest.SystemHeaders() {
		if h.Get(name) != "" {
			t.Errorf("%s was forwarded", name)
		}
	}
	if h.Get("Keep-Alive") != "" {
		t.Error("a hop-by-hop header was forwarded")
	}
	if h.Get("X-Mine") != "kept" || h.Get(platformtest.HeaderExpectedVM) == "i-9" {
		t.Errorf("got %v", h)
	}
}

func TestConfiguredLimits(t *testing.T) {
	t.Parallel()
	in, upstreams := newPlainInstallation(t, platformtest.UpstreamOptions{})
	long := platformtest.Call{Path: "/order/a", Body: "x", Header: http.Header{"X-Long": {strings.Repeat("x", 5000)}}}
	if r := in.call(long); r.Status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("header: %+v", r)
	}
	if r := in.call(platformtest.Call{Path: "/order/a", Body: strings.Repeat("x", 1<<20+1)}); r.Status != http.StatusRequestEntityTooLarge {
		t.Errorf("body: %d %v", r.Status, r.Err)
	}
	if r := in.call(platformtest.Call{Path: "/order/a", Body: strings.Repeat("x", 1<<20)}); r.Status != http.StatusOK {
		t.Errorf("body at the limit: %d %v", r.Status, r.Err)
	}
	if upstreams[0].RequestCount()+upstreams[1].RequestCount() != 1 {
		t.Error("a request over a limit was forwarded")
	}
}
