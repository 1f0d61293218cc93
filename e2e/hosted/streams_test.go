package hosted

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/laureltally/laureltally/platform/platformtest"
)

// A stream that is slow but sound is relayed to its end, and one that stalls but drips a
// byte now and then ends with the request's time, in the same installation.
func TestSlowStreamCompletesAndDrippingOneEnds(t *testing.T) {
	t.Parallel()
	const events, interval = 8, 450 * time.Millisecond
	in, upstreams := newPlainInstallation(t, platformtest.UpstreamOptions{Events: events, EventInterval: interval})
	for _, u := range upstreams {
		u.SetBehavior(func(_ int, r *http.Request) platformtest.Behavior {
			return platformtest.Behavior{Drip: strings.HasPrefix(r.Header.Get("X-Request-Id"), "drip")}
		})
	}
	slow := make(chan platformtest.Reply, 1)
	go func() { slow <- in.call(platformtest.Call{ID: "slow", Path: "/draft/a", Body: "x"}) }()
	const timeout = 2 * time.Second
	begun := time.Now()
	dripped := in.call(platformtest.Call{ID: "drip", Path: "/draft/a", Body: "x", Timeout: timeout})
	if took := time.Since(begun); dripped.Complete || took < timeout/2 || took > timeout+time.Second {
		t.Errorf("dripping stream after %v: %+v", took, dripped)
	}
	if r := <-slow; r.Status != http.StatusOK || !r.Complete || !strings.Contains(r.Body, "8 of slow") {
		t.Errorf("slow stream: %+v", r)
	}
	in.eventually("the upstream's work on the dripping stream ends", func() bool {
		return upstreams[0].InFlight()+upstreams[1].InFlight() == 0
	})
}

// A stream has begun and breaks off; the server that is asked to continue it answers with
// something else. Its text must not get into the caller's stream, nor complete it.
func TestErrorDoesNotGetIntoAStreamThatHasBegun(t *testing.T) {
	t.Parallel()
	const text = "no such thing"
	sealed := func(status, rest string) string {
		return "HTTP/1.1 " + status + "\r\nX-Request-Id: {id}\r\nX-Server-Seal: s\r\n" + rest
	}
	for name, b := range map[string]platformtest.Behavior{
		"404 with a length":       {Raw: sealed("404 Not Found", "Content-Length: 13\r\n\r\n"+text)},
		"404 without a length":    {Raw: sealed("404 Not Found", "\r\n"+text)},
		"204":                     {Raw: sealed("204 No Content", "\r\n")},
		"206 of an event stream":  {Raw: sealed("206 Partial Content", "Content-Type: text/event-stream\r\n\r\nid: 5\ndata: "+text+"\n\n")},
		"short 500":               {Raw: sealed("500 Internal Server Error", "Content-Length: 13\r\n\r\n"+text)},
		"500 longer than buffers": {Raw: sealed("500 Internal Server Error", "\r\n"), RawRepeat: strings.Repeat(text, 1000)},
		"503":                     {Raw: sealed("503 Service Unavailable", "Content-Length: 13\r\n\r\n"+text)},
		"200 that is no stream":   {Raw: sealed("200 OK", "Content-Type: text/plain\r\nContent-Length: 13\r\n\r\n"+text)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			in, upstreams := newPlainInstallation(t, platformtest.UpstreamOptions{Events: 10})
			for _, u := range upstreams {
				u.SetBehavior(func(_ int, r *http.Request) platformtest.Behavior {
					if r.Header.Get("Last-Event-Id") != "" {
						return b
					}
					return platformtest.Behavior{TruncateAfter: 4}
				})
			}
			r := in.call(platformtest.Call{ID: "s", Path: "/outlook/a", Body: "x"})
			if r.Status != http.StatusOK || r.Complete || strings.Contains(r.Body, text) || !strings.Contains(r.Body, "4 of s") {
				t.Errorf("status %d, complete %v, %d bytes: %.300q", r.Status, r.Complete, len(r.Body), r.Body)
			}
		})
	}
}

// A caller resumes a stream and gets a long error that breaks off. Another server's events must
// not follow in it.
func TestStreamDoesNotFollowInsideAnError(t *testing.T) {
	t.Parallel()
	in, upstreams := newPlainInstallation(t, platformtest.UpstreamOptions{Events: 10})
	var tries atomic.Int32
	for _, u := range upstreams {
		u.SetBehavior(func(_ int, r *http.Request) platformtest.Behavior {
			if r.Header.Get("X-Request-Id") == "first" {
				return platformtest.Behavior{TruncateAfter: 3, Decline: r.Header.Get("Last-Event-Id") != ""}
			}
			if tries.Add(1) > 1 || strings.HasPrefix(r.Header.Get("X-Request-Id"), "read-") {
				return platformtest.Behavior{}
			}
			return platformtest.Behavior{Raw: "HTTP/1.1 404 Not Found\r\nX-Request-Id: {id}\r\nX-Server-Seal: s\r\nContent-Length: 400000\r\n\r\n" + strings.Repeat("a", 300000)}
		})
	}
	in.call(platformtest.Call{ID: "first", Path: "/outlook/a", Body: "x"})
	// The budget of retries grows with the requests.
	for i := range 20 {
		in.call(platformtest.Call{ID: fmt.Sprint("read-", i), Path: "/read/a", Method: http.MethodGet})
	}
	tries.Store(0)
	r := in.call(platformtest.Call{ID: "s", Path: "/outlook/a", Body: "x", Header: http.Header{"Last-Event-Id": {"3"}, "Resumes": {"first"}}})
	if r.Status != http.StatusNotFound || r.Complete || strings.Contains(r.Body, "of s") || tries.Load() != 1 {
		t.Errorf("status %d, complete %v, %d tries, %d bytes, ends with %q", r.Status, r.Complete, tries.Load(), len(r.Body), r.Body[max(0, len(r.Body)-100):])
	}
}
