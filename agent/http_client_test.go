package agent

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/wire"
)

// TestNonIdempotentRequestIsSentOnce breaks the connection of each request
// after the upstream has received it. The client has made a request before,
// since net/http repeats a request only on a reused connection.
func TestNonIdempotentRequestIsSentOnce(t *testing.T) {
	key := map[string][]string{"Idempotency-Key": {"k"}}
	tests := []struct {
		name     string
		dispatch wire.Dispatch
	}{
		{"key without a body", wire.Dispatch{Method: http.MethodPost, Header: key}},
		{"key with a body", wire.Dispatch{Method: http.MethodPost, Header: key, Body: []byte("x")}},
		{"method that is usually idempotent", wire.Dispatch{Method: http.MethodGet}},
		{"no key", wire.Dispatch{Method: http.MethodDelete}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var runs atomic.Int32
			upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/ready" {
					return
				}
				runs.Add(1)
				panic(http.ErrAbortHandler)
			}))
			defer upstream.Close()
			a := &Agent{o: Options{Settings: config.AgentSettings{UpstreamURL: upstream.URL}}.withDefaults()}
			ready := wire.Dispatch{Method: http.MethodGet, Path: "/ready", NonIdempotent: true}
			if resp, err := a.send(context.Background(), &ready); err != nil {
				t.Fatal(err)
			} else {
				_ = resp.Body.Close()
			}
			d := test.dispatch
			d.Path, d.NonIdempotent = "/order", true
			if resp, err := a.send(context.Background(), &d); err == nil {
				_ = resp.Body.Close()
				t.Fatal("the request with a broken connection got a response")
			}
			if n := runs.Load(); n != 1 {
				t.Fatalf("request ran %d times, want once", n)
			}
		})
	}
}
