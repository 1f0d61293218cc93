package hosted

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/laureltally/laureltally/internal/earlyanswer"
	"github.com/laureltally/laureltally/platform/platformtest"
)

// longUpload is the body of a request that the sockets do not buffer.
var longUpload = strings.Repeat("x", earlyanswer.UploadBytes)

// Rules MIXED, ORDER: guards against a part of an answer that reaches the caller as a complete one, as
// its server reset the connection while a long body was being written to it. Whether the reading or
// the writing half of the router meets the reset is chance.
func TestAnswerResetDuringUploadIsNotComplete(t *testing.T) {
	t.Parallel()
	const requests = 30
	for name, tc := range map[string]struct{ path, raw string }{
		"whole answer":             {"/order/a", rawHead + "\r\nthe bo"},
		"whole answer of HTTP/1.0": {"/order/a", strings.Replace(rawHead, "HTTP/1.1", "HTTP/1.0", 1) + "\r\nthe bo"},
		"long answer":              {"/order/a", rawHead + "\r\n" + strings.Repeat("a", 300<<10)},
		"stream":                   {"/draft/a", rawUnmarked + rawEvent},
		"resumable stream":         {"/outlook/a", rawUnmarked + rawEvent},
		"chunks":                   {"/order/a", rawHead + "Transfer-Encoding: chunked\r\n\r\n6\r\nthe bo\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			in, upstreams := newPlainInstallation(t, platformtest.UpstreamOptions{SlowUploads: true})
			for _, u := range upstreams {
				u.SetBehavior(always(platformtest.Behavior{Raw: tc.raw, RawHold: 20 * time.Millisecond, RawEarly: true, RawReset: true}))
			}
			complete := 0
			for range requests {
				if r := in.call(platformtest.Call{Path: tc.path, Body: longUpload}); r.Complete && r.Status == http.StatusOK {
					complete++
				}
			}
			if complete > 0 || in.attemptsEnded("broken") == 0 {
				t.Errorf("%d of %d answers are complete, %d attempts broken", complete, requests, in.attemptsEnded("broken"))
			}
		})
	}
}

// Rules LOST, REFUSED: guards against a whole answer that counts as broken, as its server gave it before
// it had read the body of the request, and ended it properly.
func TestAnswerEndedDuringUploadCounts(t *testing.T) {
	t.Parallel()
	in, upstreams := newPlainInstallation(t, platformtest.UpstreamOptions{SlowUploads: true})
	for _, u := range upstreams {
		u.SetBehavior(always(platformtest.Behavior{Raw: rawHead + "\r\nthe body", RawEarly: true}))
	}
	for range 10 {
		if r := in.call(platformtest.Call{Path: "/order/a", Body: longUpload}); r.Status != http.StatusOK || r.Body != "the body" || !r.Complete {
			t.Errorf("status %d, body %q, error %v", r.Status, r.Body, r.Err)
		}
	}
}
