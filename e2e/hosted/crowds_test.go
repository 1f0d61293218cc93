package hosted

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/laureltally/laureltally/heldbytes"
	"github.com/laureltally/laureltally/ingress"
	"github.com/laureltally/laureltally/platform/platformtest"
)

// crowdVMMB is the memory of the VM in tests of crowds, and crowdLive the memory that a crowd may
// take there, with the test's own part: the budget, the part by which it may be exceeded, and the
// garbage of one collection.
const (
	crowdVMMB = 16
	crowdLive = 30 << 20
)

// connect opens a connection to the router and sends text, as far as the router takes it.
func (in *installation) connect(text string) net.Conn {
	in.t.Helper()
	c, err := net.Dial("tcp4", in.router)
	if err != nil {
		in.t.Fatal(err)
	}
	in.t.Cleanup(func() { c.Close() })
	_ = c.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
	// The router may close the connection meanwhile.
	_, _ = io.WriteString(c, text)
	_ = c.SetWriteDeadline(time.Time{})
	return c
}

// head returns the header of a request with more fields, and without its end if they have none.
func head(method, path string, fields ...string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s", method, path, host, strings.Join(fields, ""))
}

// shortFields returns fields of together about n bytes, with distinct names.
func shortFields(n int) string {
	var b strings.Builder
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

// answered reads a response and reports its status, and whether the connection was closed
// afterwards, both within a time.
func answered(c net.Conn, within time.Duration) (status int, closed bool) {
	_ = c.SetReadDeadline(time.Now().Add(within))
	r := bufio.NewReader(c)
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, errTimeout(err) == nil
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_, err = r.ReadByte()
	return resp.StatusCode, err != nil && errTimeout(err) == nil
}

// errTimeout returns err if it is a timeout, and otherwise nil.
func errTimeout(err error) error {
	var n net.Error
	if errors.As(err, &n) && n.Timeout() {
		return err
	}
	return nil
}

// Crowds whose requests hold more than their bytes, or that are small each, as they connect, send
// and stop. Guards against a process that holds far more than its budget, and against an ordinary
// caller that is not served while the crowd is connected. Without a cost of fields, 100 KB of them
// took 132 MB; without idle and owing connections that can be disconnected, 70 MB were held.
func TestCrowdsStayWithinBudget(t *testing.T) {
	const largeHeader = 100 << 10
	whole := func(fields string) string {
		return head("POST", "/order/a", fields, "Content-Length: 9\r\n\r\n12345678")
	}
	for _, tt := range []struct {
		name        string
		connections int
		text        string
	}{
		{"long headers of short fields", 100, whole(shortFields(largeHeader))},
		{"headers of short fields", 1500, whole(shortFields(3900))},
		{"headers without end", 1500, head("POST", "/order/a", shortFields(3900))},
		{"idle", 1500, ""},
		{"body without its first byte", 1500, head("POST", "/order/a", "Content-Length: 60000\r\n\r\n")},
		{"bodies one byte short", 500, head("POST", "/order/a", "Content-Length: 60001\r\n\r\n", strings.Repeat("b", 60000))},
		{"chunks", 500, head("POST", "/order/a", "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("1\r\nx\r\n", 16000))},
		{"no route", 500, head("POST", "/none", "Content-Length: 60001\r\n\r\n", strings.Repeat("b", 60000))},
		{"requests ahead", 60, strings.Repeat(head("GET", "/none", "\r\n"), 20000)},
	} {
		t.Run(tt.name, func(t *testing.T) {
			in := newInstallation(t)
			in.memoryMB = crowdVMMB
			c := writePlainConfig(in, 1)
			c.HeaderBytes = largeHeader + 8<<10
			c.Write(in.store)
			in.upstream(platformtest.UpstreamOptions{ID: "i-0", Service: "portal"})
			in.startRouter()
			before, held, live, served, others := liveBytes(), 0.0, int64(0), 0, 0
			for i := range tt.connections {
				in.connect(tt.text)
				if held = max(held, in.gauge("held_bytes")); i%(tt.connections/10) == 0 {
					if r := in.call(platformtest.Call{Path: "/order/a", Body: "x"}); r.Status == http.StatusOK {
						served++
					}
					others++
					live = max(live, liveBytes()-before)
				}
			}
			budget := float64(heldbytes.LimitFor(crowdVMMB))
			t.Logf("held at most %.1f MB of %.1f, live %.1f MB, served %d of %d, disconnected %d", held/(1<<20), budget/(1<<20), float64(live)/(1<<20), served, others, in.counter("readers_disconnected"))
			if held > 1.5*budget || live > crowdLive || served < others-1 {
				t.Errorf("held %.0f bytes of %.0f, live %d, served %d of %d", held, budget, live, served, others)
			}
		})
	}
}

// A crowd of connections, idle or in the middle of a request, that would use up the descriptors of
// the VM. Guards against a router that cannot accept, or reach its upstreams, any more.
func TestCrowdsLeaveDescriptors(t *testing.T) {
	t.Parallel()
	const maxFiles, connections = 600, 900
	for name, text := range map[string]string{"idle": "", "body short": head("POST", "/order/a", "Content-Length: 9\r\n\r\n12345678")} {
		in := newInstallation(t)
		in.memoryMB = smallVMMB
		in.adjust = func(o *ingress.Options) { o.Settings.MaxFiles = maxFiles }
		writePlainConfig(in, 1)
		in.upstream(platformtest.UpstreamOptions{ID: "i-0", Service: "portal"})
		in.startRouter()
		limit, held, served, others := in.gauge("held_files_budget"), 0.0, 0, 0
		for i := range connections {
			in.connect(text)
			held = max(held, in.gauge("held_files"))
			if i%30 == 0 {
				if r := in.call(platformtest.Call{Path: "/order/a", Body: "x"}); r.Status == http.StatusOK {
					served++
				}
				others++
			}
		}
		t.Logf("%s: held at most %.0f descriptors of %.0f, served %d of %d", name, held, limit, served, others)
		// Those of connections being closed are counted until they are.
		if limit != 300 || held > 1.2*limit || served < others-1 {
			t.Errorf("%s: held %.0f descriptors of %.0f, served %d of %d", name, held, limit, served, others)
		}
	}
}

// Guards against a body that is waited for without end: it ends with its request's time, as not
// run, and the connection is closed.
func TestBodyThatStopsShortEndsWithItsTime(t *testing.T) {
	t.Parallel()
	for _, memoryMB := range []float64{0, smallVMMB} {
		in, upstreams := newSmallInstallation(t, memoryMB)
		begun := time.Now()
		c := in.connect(head("POST", "/order/a", "X-Request-Id: r\r\nX-Deadline-Ms: 700\r\nContent-Length: 10\r\n\r\n123456789"))
		status, closed := answered(c, 5*time.Second)
		if took := time.Since(begun); status != http.StatusRequestTimeout || !closed || took < 600*time.Millisecond || took > 2*time.Second {
			t.Errorf("memory %v: status %d, closed %v after %v", memoryMB, status, closed, took)
		}
		if n := upstreams[0].RequestCount() + upstreams[1].RequestCount(); n != 0 {
			t.Errorf("%d requests have run", n)
		}
	}
}

// Guards against a refusal that waits for the body of its request, and against a connection that
// is closed though the body was short and had arrived.
func TestRefusalDoesNotWaitForBody(t *testing.T) {
	t.Parallel()
	in, _ := newSmallInstallation(t, smallVMMB)
	for name, tt := range map[string]struct {
		text   string
		status int
		closed bool
	}{
		"no route, no body":               {head("GET", "/none", "\r\n"), 404, false},
		"no route, body complete":         {head("POST", "/none", "Content-Length: 3\r\n\r\nabc"), 404, false},
		"no route, chunks complete":       {head("POST", "/none", "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"), 404, false},
		"no route, body short":            {head("POST", "/none", "Content-Length: 3\r\n\r\nab"), 404, true},
		"no route, chunks without end":    {head("POST", "/none", "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"), 404, true},
		"no route, 60 KB one byte short":  {head("POST", "/none", "Content-Length: 60001\r\n\r\n", strings.Repeat("b", 60000)), 404, true},
		"no route, continue expected":     {head("POST", "/none", "Expect: 100-continue\r\nContent-Length: 3\r\n\r\n"), 404, true},
		"header too large, body short":    {head("POST", "/order/a", "X-Long: ", strings.Repeat("x", 5000), "\r\nContent-Length: 3\r\n\r\nab"), 431, true},
		"body far too large, one KB sent": {head("POST", "/order/a", "Content-Length: 900000000\r\n\r\n", strings.Repeat("b", 1<<10)), 413, true},
	} {
		c := in.connect(tt.text)
		begun := time.Now()
		status, closed := answered(c, 1500*time.Millisecond)
		if status != tt.status || closed != tt.closed {
			t.Errorf("%s: status %d, closed %v after %v", name, status, closed, time.Since(begun))
		}
	}
}

// Guards against a refusal that its caller does not read, since unread bytes reset the connection:
// a caller that sends all of its body before it reads can do so, and gets the response.
func TestRefusalReachesCallerThatSendsOn(t *testing.T) {
	t.Parallel()
	in, _ := newSmallInstallation(t, smallVMMB)
	for name, tt := range map[string]struct {
		path   string
		size   int
		status int
	}{
		"no route":  {"/none", 4 << 20, 404},
		"too large": {"/order/a", 16<<20 + 1, 413},
	} {
		c, err := net.Dial("tcp4", in.router)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_, err = io.WriteString(c, head("POST", tt.path, fmt.Sprintf("Content-Length: %d\r\n\r\n", tt.size), strings.Repeat("b", min(tt.size, 6<<20))))
		if status, _ := answered(c, 2*time.Second); status != tt.status || err != nil {
			t.Errorf("%s: status %d, write %v", name, status, err)
		}
	}
}

// Guards against a small receive buffer that makes the peer's kernel wait: a body of 64 KB then took
// 0.7 s. Fails without callerSegment on a loopback interface with large segments.
func TestBodiesAreNotHeldUpBySmallBuffers(t *testing.T) {
	in, _ := newSmallInstallation(t, smallVMMB)
	for _, size := range []int{20 << 10, 64 << 10, 1 << 20} {
		fastest := time.Hour
		for range 5 {
			r := in.call(platformtest.Call{Path: "/order/a", Body: strings.Repeat("b", size)})
			if r.Status != http.StatusOK {
				t.Fatalf("%d bytes: %d %v", size, r.Status, r.Err)
			}
			fastest = min(fastest, r.Duration)
		}
		if fastest > 100*time.Millisecond {
			t.Errorf("%d bytes took %v at least", size, fastest)
		}
	}
}

// A header within the limit is served also if it consists of short fields. Guards against a cost
// of fields that refuses it in calm, and against one far beyond the limit that is read to its end.
func TestHeaderOfShortFieldsWithinLimitIsServed(t *testing.T) {
	t.Parallel()
	const limit = 64 << 10
	in := newInstallation(t)
	in.memoryMB = smallVMMB
	c := writePlainConfig(in, 1)
	c.HeaderBytes = limit
	c.Write(in.store)
	in.upstream(platformtest.UpstreamOptions{ID: "i-0", Service: "portal"})
	in.startRouter()
	for _, fields := range []string{shortFields(limit - 2<<10), strings.Repeat("a:\r\n", (limit-2<<10)/4)} {
		text := head("POST", "/order/a", "X-Request-Id: r\r\n", fields, "Content-Length: 1\r\n\r\nx")
		if status, _ := answered(in.connect(text), 5*time.Second); status != http.StatusOK {
			t.Errorf("header of %d bytes: status %d", len(text), status)
		}
	}
	if status, closed := answered(in.connect(head("POST", "/order/a", shortFields(128<<10))), 5*time.Second); status != http.StatusRequestHeaderFieldsTooLarge || !closed {
		t.Errorf("header far too large: status %d, closed %v", status, closed)
	}
}

// An idle connection is kept for the configured time, and a body that is sent slowly but steadily
// is taken. Guards against limits that calm callers meet.
func TestCalmCallerMeetsNoLimit(t *testing.T) {
	t.Parallel()
	in, _ := newSmallInstallation(t, smallVMMB)
	c := in.connect(head("POST", "/order/a", "X-Request-Id: a\r\nContent-Length: 1\r\n\r\nx"))
	r := bufio.NewReader(c)
	for i, pause := range []time.Duration{8 * time.Second, 0} {
		resp, err := http.ReadResponse(r, nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("request %d: %v %v", i, resp, err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		if pause == 0 {
			return
		}
		time.Sleep(pause)
		if _, err := io.WriteString(c, head("POST", "/order/a", "X-Request-Id: b\r\nContent-Length: 60\r\n\r\n")); err != nil {
			t.Fatal(err)
		}
		for range 60 {
			time.Sleep(20 * time.Millisecond)
			if _, err := io.WriteString(c, "b"); err != nil {
				t.Fatal(err)
			}
		}
	}
}
