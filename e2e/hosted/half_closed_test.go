package hosted

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/laureltally/laureltally/platform/platformtest"
)

// halfClose sends a request, closes the sending half of the connection after a time and
// returns the response with its body. A response that is not complete has an error.
func (in *installation) halfClose(c platformtest.Call, after time.Duration) (*http.Response, string, error) {
	in.t.Helper()
	raw, err := net.Dial("tcp4", in.router)
	if err != nil {
		in.t.Fatal(err)
	}
	defer raw.Close()
	header := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nContent-Length: 1\r\n", c.Path, host, c.ID)
	if c.Model != "" {
		header += "X-Model: " + c.Model + "\r\n"
	}
	if _, err := io.WriteString(raw, header+"\r\nx"); err != nil {
		in.t.Fatal(err)
	}
	time.Sleep(after)
	if err := raw.(*net.TCPConn).CloseWrite(); err != nil {
		in.t.Fatal(err)
	}
	_ = raw.SetReadDeadline(time.Now().Add(testTimeout))
	resp, err := http.ReadResponse(bufio.NewReader(raw), nil)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// Rules ORDER, MIXED: guards against an answer that was given up, as its caller has closed the
// sending half of its connection, and that looks complete to the caller, who reads on.
func TestAnswerGivenUpForHalfClosedCallerIsNotComplete(t *testing.T) {
	t.Parallel()
	const events = 40
	chunk := strings.Repeat("a", 1000)
	long := rawHead + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", len(chunk), chunk), 300)
	for name, tc := range map[string]struct {
		path     string
		behavior platformtest.Behavior
		after    time.Duration
	}{
		"stream":                        {path: "/draft/a", after: 250 * time.Millisecond},
		"resumable stream":              {path: "/outlook/a", after: 250 * time.Millisecond},
		"stream before its first event": {path: "/draft/a", behavior: platformtest.Behavior{Hang: true}, after: 250 * time.Millisecond},
		"whole answer":                  {path: "/order/a", behavior: platformtest.Behavior{Hang: true}, after: 250 * time.Millisecond},
		"long answer":                   {path: "/order/a", behavior: platformtest.Behavior{Raw: long, RawHold: time.Second}, after: 250 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			in, upstreams := newPlainInstallation(t, platformtest.UpstreamOptions{Events: events, EventInterval: 20 * time.Millisecond})
			for _, u := range upstreams {
				u.SetBehavior(always(tc.behavior))
			}
			resp, body, err := in.halfClose(platformtest.Call{ID: "half", Path: tc.path}, tc.after)
			if err == nil && resp.StatusCode == http.StatusOK && !strings.Contains(body, fmt.Sprintf("%d of half", events)) {
				t.Errorf("complete answer %d with seal %q and %d bytes, ends with %q", resp.StatusCode, resp.Header.Get("X-Server-Seal"), len(body), body[max(0, len(body)-50):])
			}
		})
	}
}

// Rule MIXED: guards against the same while the request waits for a model to be loaded.
func TestWaitGivenUpForHalfClosedCallerIsNotAnswered(t *testing.T) {
	t.Parallel()
	e := newEngines(t, 1, time.Second)
	resp, body, err := e.halfClose(platformtest.Call{ID: "half", Path: "/outlook/a", Model: "m5"}, 150*time.Millisecond)
	if err == nil && resp.StatusCode == http.StatusOK {
		t.Errorf("complete answer %d with seal %q: %q", resp.StatusCode, resp.Header.Get("X-Server-Seal"), body)
	}
}
