package router

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/laureltally/laureltally/response"
	"github.com/laureltally/laureltally/wire"
)

// Guards against a malformed head of an agent's earlier version, which passed those of its upstream on,
// that reaches the caller: net/http panics for a status under 100, and sends status 200 after one under
// 200.
func TestMalformedHeadOfAnAgentIsAFailure(t *testing.T) {
	body := []byte("the body")
	for name, head := range map[string]*wire.Head{
		"status 0":      {Status: 0},
		"status 99":     {Status: 99},
		"status 101":    {Status: http.StatusSwitchingProtocols},
		"status 103":    {Status: http.StatusEarlyHints},
		"blank in name": {Status: http.StatusOK, Header: http.Header{"Content-Length ": {"3"}}},
	} {
		for kind, newSink := range map[string]func(http.ResponseWriter) sink{
			"buffered": func(w http.ResponseWriter) sink { return newBufferedSink(w) },
			"stream":   func(w http.ResponseWriter) sink { return newStreamSink(w) },
		} {
			t.Run(fmt.Sprintf("%s, %s", name, kind), func(t *testing.T) {
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					x := &exchange{d: &delivery{req: &Request{NonIdempotent: true}, out: newSink(w)}}
					for _, p := range []response.Part{{Head: head}, {Data: body}, {Complete: true}} {
						if failure, done := x.forward(p); failure != nil {
							x.d.out.Abort(failure)
							return
						} else if done {
							return
						}
					}
				}))
				defer server.Close()
				resp, err := http.Get(server.URL)
				if err != nil {
					t.Fatal(err)
				}
				defer resp.Body.Close()
				if text, err := io.ReadAll(resp.Body); resp.StatusCode != http.StatusBadGateway || err != nil {
					t.Errorf("status %d, %q, error %v", resp.StatusCode, text, err)
				}
			})
		}
	}
}
