package hosted

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/laureltally/laureltally/ingress"
	"github.com/laureltally/laureltally/platform/platformtest"
)

// rawCall sends a request in a version of HTTP and returns the response and its body as far as
// it was received, with the error that ended it.
func (in *installation) rawCall(path, proto string) (*http.Response, string, error) {
	in.t.Helper()
	c, err := net.Dial("tcp4", in.router)
	if err != nil {
		in.t.Fatal(err)
	}
	defer c.Close()
	if _, err := fmt.Fprintf(c, "POST %s %s\r\nHost: %s\r\nX-Request-Id: raw\r\nContent-Length: 1\r\n\r\nx", path, proto, host); err != nil {
		in.t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(testTimeout))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		in.t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// wantOrder sends an order and fails the test unless its response is whole.
func (in *installation) wantOrder(want string) {
	in.t.Helper()
	if resp, body, err := in.rawCall("/order/a", "HTTP/1.1"); resp.StatusCode != http.StatusOK || body != want || err != nil {
		in.t.Errorf("status %d, body %q, error %v", resp.StatusCode, body, err)
	}
}

const (
	rawUnmarked = rawHead + "Content-Type: text/event-stream\r\n\r\n"
	rawChunked  = rawHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)

// Rules ORDER, MIXED: guards against an answer that is passed on as known to be complete though
// only the end of its connection marked its end: the kernel closes the connections of a server
// that was killed in the same way.
func TestEndThatOnlyTheConnectionMarksIsNotStatedToBeOne(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct{ path, raw string }{
		"stream":       {"/draft/a", rawUnmarked + rawEvent},
		"empty stream": {"/draft/a", rawUnmarked},
		"whole answer": {"/order/a", rawHead + "\r\nthe bo"},
		"long answer":  {"/order/a", rawHead + "\r\n" + strings.Repeat("a", 300<<10)},
		"failure":      {"/order/a", strings.Replace(rawHead, "200 OK", "500 Failed", 1) + "\r\nno"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			in, upstreams := newPlainInstallation(t, platformtest.UpstreamOptions{})
			for _, u := range upstreams {
				u.SetBehavior(always(platformtest.Behavior{Raw: tc.raw}))
			}
			resp, body, err := in.rawCall(tc.path, "HTTP/1.1")
			if len(resp.TransferEncoding) > 0 || resp.ContentLength >= 0 || err != nil {
				t.Errorf("status %d, %d bytes, framed with %v, length %d, error %v", resp.StatusCode, len(body), resp.TransferEncoding, resp.ContentLength, err)
			}
		})
	}
}

// Rule ORDER: guards against a response whose end only the connection can mark, as its server or
// its caller knows nothing else, and that looks complete after the router or the server broke it off.
func TestBreakIsAResetWhereOnlyTheConnectionMarksTheEnd(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct{ proto, raw string }{
		"server marks no end": {"HTTP/1.1", rawUnmarked + rawEvent + "id: 3\nda"},
		"caller of HTTP/1.0":  {"HTTP/1.0", rawChunked + fmt.Sprintf("%x\r\n%s\r\n", len(rawEvent), rawEvent)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			in, upstreams := newPlainInstallation(t, platformtest.UpstreamOptions{})
			for _, u := range upstreams {
				u.SetBehavior(always(platformtest.Behavior{Raw: tc.raw, RawHold: 100 * time.Millisecond}))
			}
			if resp, body, err := in.rawCall("/draft/a", tc.proto); !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("status %d, body %q, error %v", resp.StatusCode, body, err)
			}
		})
	}
}

// Rule ORDER: guards against a stream that began in chunks and is completed by a server whose
// answer has no marked end.
func TestContinuationWithoutMarkedEndDoesNotCompleteAStream(t *testing.T) {
	t.Parallel()
	in, upstreams := newPlainInstallation(t, platformtest.UpstreamOptions{Events: 10})
	for _, u := range upstreams {
		u.SetBehavior(func(_ int, r *http.Request) platformtest.Behavior {
			if r.Header.Get("Last-Event-Id") != "" {
				return platformtest.Behavior{Raw: rawUnmarked + "id: 5\ndata: 5 of s\n\n"}
			}
			return platformtest.Behavior{TruncateAfter: 4}
		})
	}
	r := in.call(platformtest.Call{ID: "s", Path: "/outlook/a", Body: "x"})
	if r.Complete || !strings.Contains(r.Body, "5 of s") {
		t.Errorf("complete %v: %q", r.Complete, r.Body)
	}
}

// Rules ORDER, MIXED: guards against an answer that looks complete, as its server was killed within
// it and closed the connection like one that is done.
func TestUnmarkedEndOfKilledServerIsABreak(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct{ path, raw string }{
		"stream":       {"/draft/a", rawUnmarked + rawEvent},
		"whole answer": {"/order/a", rawHead + "\r\nthe bo"},
		"long answer":  {"/order/a", rawHead + "\r\n" + strings.Repeat("a", 300<<10)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			in, upstreams := newPlainInstallation(t, platformtest.UpstreamOptions{})
			for _, u := range upstreams {
				u.SetBehavior(always(platformtest.Behavior{Raw: tc.raw, RawHold: 300 * time.Millisecond}))
			}
			time.AfterFunc(100*time.Millisecond, func() {
				upstreams[0].Close()
				upstreams[1].Close()
			})
			if resp, body, err := in.rawCall(tc.path, "HTTP/1.1"); err == nil && resp.StatusCode == http.StatusOK {
				t.Errorf("complete answer of %d bytes", len(body))
			}
		})
	}
}

// Rules LOST, REFUSED: guards against a whole answer without a marked end that counts as broken, as
// its server leaves and has closed its port before its last answers were written.
func TestUnmarkedEndOfLeavingServerCounts(t *testing.T) {
	t.Parallel()
	in, upstreams := newPlainInstallation(t, platformtest.UpstreamOptions{})
	for _, u := range upstreams {
		u.SetBehavior(always(platformtest.Behavior{Raw: rawHead + "\r\nthe body", RawHold: time.Second}))
	}
	time.AfterFunc(200*time.Millisecond, func() {
		for _, u := range upstreams {
			u.Register(in.store, "draining")
			u.Close()
		}
	})
	in.wantOrder("the body")
}

// Rules ORDER, MIXED: guards against a response that looks complete, as its server is known to leave:
// it was removed at short notice within the response, and closed the connection like one that is
// done. The same holds if the notice is listed only after the removal.
func TestUnmarkedEndOfRemovedServerIsABreak(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		path, raw string
		// notice is the stated time, and listed when the store has it.
		notice, listed time.Duration
		// suspended is how long the router's machine is suspended meanwhile.
		suspended time.Duration
	}{
		"stream":       {"/draft/a", rawUnmarked + rawEvent, 400 * time.Millisecond, 200 * time.Millisecond, 0},
		"resumable":    {"/outlook/a", rawUnmarked + rawEvent, 400 * time.Millisecond, 200 * time.Millisecond, 0},
		"whole answer": {"/order/a", rawHead + "\r\nthe bo", 400 * time.Millisecond, 200 * time.Millisecond, 0},
		"late notice":  {"/draft/a", rawUnmarked + rawEvent, 0, 800 * time.Millisecond, 0},
		"suspend":      {"/draft/a", rawUnmarked + rawEvent, 3 * time.Second, 200 * time.Millisecond, 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			in := newInstallation(t)
			in.adjust = func(o *ingress.Options) {
				o.Suspended = func() time.Duration { return tc.suspended }
			}
			upstreams := startPlain(in, platformtest.UpstreamOptions{})
			for _, u := range upstreams {
				u.SetBehavior(always(platformtest.Behavior{Raw: tc.raw, RawHold: 1200 * time.Millisecond}))
			}
			time.AfterFunc(tc.listed, func() {
				for _, u := range upstreams {
					u.RegisterRemoval(in.store, tc.notice)
				}
			})
			time.AfterFunc(700*time.Millisecond, func() {
				for _, u := range upstreams {
					u.Close()
				}
			})
			if resp, body, err := in.rawCall(tc.path, "HTTP/1.1"); err == nil && resp.StatusCode == http.StatusOK {
				t.Errorf("complete answer of %d bytes", len(body))
			}
		})
	}
}

// Rules LOST, REFUSED: guards against a whole response that counts as broken though its server
// completed it ahead of its announced removal, or still accepts connections.
func TestUnmarkedEndAheadOfTheRemovalCounts(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		notice time.Duration
		closed bool
	}{
		"port closed":    {10 * time.Second, true},
		"removal is due": {100 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			in, upstreams := newPlainInstallation(t, platformtest.UpstreamOptions{})
			for _, u := range upstreams {
				u.SetBehavior(always(platformtest.Behavior{Raw: rawHead + "\r\nthe body", RawHold: time.Second}))
			}
			time.AfterFunc(200*time.Millisecond, func() {
				for _, u := range upstreams {
					u.RegisterRemoval(in.store, tc.notice)
					if tc.closed {
						u.Close()
					}
				}
			})
			in.wantOrder("the body")
		})
	}
}

// Rule ORDER: guards against the end of a killed server that counts, as the server is not listed any
// more: another one has taken its address.
func TestUnmarkedEndOfReplacedServerIsABreak(t *testing.T) {
	t.Parallel()
	in, upstreams := newPlainInstallation(t, platformtest.UpstreamOptions{})
	for _, u := range upstreams {
		u.SetBehavior(always(platformtest.Behavior{Raw: rawUnmarked + rawEvent, RawHold: 1500 * time.Millisecond}))
	}
	time.AfterFunc(200*time.Millisecond, func() {
		for _, u := range upstreams {
			in.store.RemoveServer(u.ID())
			u.Close()
		}
	})
	if _, body, err := in.rawCall("/draft/a", "HTTP/1.1"); err == nil {
		t.Errorf("complete stream of %d bytes", len(body))
	}
}
