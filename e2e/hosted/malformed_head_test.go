package hosted

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/laureltally/laureltally/internal/responsehead/headtest"
	"github.com/laureltally/laureltally/platform/platformtest"
)

// wantNoAnswer sends requests of each kind to servers that give a response, and fails the test if a
// caller gets it, or another one than a failure of the router, or if an order runs twice.
func wantNoAnswer(t *testing.T, text string) {
	t.Helper()
	in, upstreams := newPlainInstallation(t, platformtest.UpstreamOptions{})
	for _, u := range upstreams {
		u.SetBehavior(always(platformtest.Behavior{Raw: text}))
	}
	for _, c := range []platformtest.Call{{Path: "/order/a", Body: "x"}, {Path: "/read/a", Method: http.MethodGet}, {Path: "/draft/a", Body: "x"}, {Path: "/outlook/a", Body: "x"}} {
		r := in.call(c)
		if r.Status != http.StatusBadGateway || r.Sealed {
			t.Errorf("%s: status %d, seal %v, body %q, error %v", c.Path, r.Status, r.Sealed, r.Body, r.Err)
		}
		if n := countRuns(upstreams, r.ID); c.Path == "/order/a" && n != 1 {
			t.Errorf("order ran %d times", n)
		}
	}
}

// Rule MIXED: guards against an answer with a malformed status line, of a server in trouble, that
// reaches the caller as an answer, or whose body does.
func TestMalformedStatusIsNoAnswer(t *testing.T) {
	t.Parallel()
	for _, r := range headtest.MalformedStatus() {
		t.Run(r.Name, func(t *testing.T) {
			t.Parallel()
			wantNoAnswer(t, r.Text)
		})
	}
}

// Rules MIXED, REFUSED: guards against a sound answer with an odd head that does not reach the caller as
// it is. A status beyond the known ones is a failure.
func TestSoundHeadIsAnAnswer(t *testing.T) {
	t.Parallel()
	for _, r := range headtest.Sound() {
		t.Run(r.Name, func(t *testing.T) {
			t.Parallel()
			in, upstreams := newPlainInstallation(t, platformtest.UpstreamOptions{})
			for _, u := range upstreams {
				u.SetBehavior(always(platformtest.Behavior{Raw: r.Text}))
			}
			in.wantOrder("the body")
			for _, u := range upstreams {
				u.SetBehavior(always(platformtest.Behavior{Raw: strings.Replace(r.Text, " 200", " 999", 1)}))
			}
			if got := in.call(platformtest.Call{Path: "/order/a", Body: "x"}); got.Status != 999 || got.Body != "the body" || !got.Sealed {
				t.Errorf("status %d, body %q, seal %v", got.Status, got.Body, got.Sealed)
			}
		})
	}
}

// Rule MIXED: guards against an answer with a malformed field, in its head or its trailer, that reaches
// the caller, with that line or without it, or with a body that is not the server's.
func TestMalformedFieldIsNoAnswer(t *testing.T) {
	t.Parallel()
	for _, r := range slices.Concat(headtest.MalformedFields(), headtest.MalformedFraming(), headtest.MalformedTrailers()) {
		t.Run(r.Name, func(t *testing.T) {
			t.Parallel()
			wantNoAnswer(t, r.Text)
		})
	}
}

// Rule ORDER: guards against a stream that is complete though its trailer is malformed.
func TestStreamWithMalformedTrailerIsNotComplete(t *testing.T) {
	t.Parallel()
	for _, r := range headtest.MalformedTrailers() {
		t.Run(r.Name, func(t *testing.T) {
			t.Parallel()
			in, upstreams := newPlainInstallation(t, platformtest.UpstreamOptions{})
			for _, u := range upstreams {
				u.SetBehavior(always(platformtest.Behavior{Raw: strings.Replace(r.Text, "8\r\nthe body", fmt.Sprintf("%x\r\n%s", len(rawEvent), rawEvent), 1)}))
			}
			if got := in.call(platformtest.Call{Path: "/draft/a", Body: "x"}); got.Complete || got.Body != rawEvent {
				t.Errorf("complete %v, body %q", got.Complete, got.Body)
			}
		})
	}
}
