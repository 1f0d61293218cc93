package agent

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/laureltally/laureltally/admission"
	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/internal/earlyanswer"
	"github.com/laureltally/laureltally/wire"
)

// Guards against a part of a response that counts as a whole one, as the upstream reset the connection
// while the body of the request was being written, and against a sound response that counts as broken,
// as the upstream ended it before it had read that body. Whether the reading or the writing half of
// net/http meets a reset is chance.
func TestUnmarkedEndDuringUpload(t *testing.T) {
	const requests = 30
	for name, tc := range map[string]struct {
		end           func(*net.TCPConn)
		nonIdempotent bool
		want          admission.Result
	}{
		"reset, sent once":       {end: earlyanswer.Reset, nonIdempotent: true, want: admission.Failed},
		"reset, may be repeated": {end: earlyanswer.Reset, want: admission.Failed},
		"ended": {end: func(c *net.TCPConn) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, c)
		}, want: admission.Succeeded},
	} {
		t.Run(name, func(t *testing.T) {
			address := earlyanswer.Start(t, "HTTP/1.1 200 OK\r\n\r\nbody", func(c *net.TCPConn) {
				time.Sleep(20 * time.Millisecond)
				tc.end(c)
			})
			a, err := New(Options{Settings: config.AgentSettings{UpstreamURL: "http://" + address}})
			if err != nil {
				t.Fatal(err)
			}
			other := 0
			for i := range requests {
				got, _ := respond(t, a, &wire.Dispatch{
					Attempt: ident.Attempt(fmt.Sprintf("attempt-%d", i)), Method: http.MethodPost, Path: "/a", NonIdempotent: tc.nonIdempotent, Body: make([]byte, earlyanswer.UploadBytes),
				})
				if got != tc.want {
					other++
				}
			}
			if other > 0 {
				t.Errorf("%d of %d responses do not count as %v", other, requests, tc.want)
			}
		})
	}
}
