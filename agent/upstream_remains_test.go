package agent

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/laureltally/laureltally/admission"
	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/wire"
)

// Guards against a response that looks complete, as its upstream was killed within it and only the
// end of the connection marks the end. An upstream that is drained may have closed its port.
func TestUnmarkedEndOfKilledUpstreamIsABreak(t *testing.T) {
	for name, tc := range map[string]struct {
		killed, draining, stream bool
		head                     string
		want                     admission.Result
	}{
		"killed":               {killed: true, want: admission.Failed},
		"remains":              {want: admission.Succeeded},
		"drained":              {killed: true, draining: true, want: admission.Succeeded},
		"end is marked":        {killed: true, head: "Content-Length: 4\r\n", want: admission.Succeeded},
		"API marks the stream": {killed: true, stream: true, want: admission.Succeeded},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					t.Error(err)
				}
				if tc.killed {
					_ = listener.Close()
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+tc.head+"\r\nbody")
			}()
			a, err := New(Options{Settings: config.AgentSettings{UpstreamURL: "http://" + listener.Addr().String()}})
			if err != nil {
				t.Fatal(err)
			}
			a.draining.Store(tc.draining)
			d := &wire.Dispatch{Attempt: "attempt-1", Method: http.MethodPost, Path: "/a", NonIdempotent: true, Stream: tc.stream}
			if got, err := respond(t, a, d); got != tc.want || err != nil {
				t.Errorf("got %v and %v, want %v", got, err, tc.want)
			}
		})
	}
}

// respond sends an attempt to the upstream and copies its response.
func respond(t *testing.T, a *Agent, d *wire.Dispatch) (admission.Result, error) {
	t.Helper()
	resp, err := a.send(t.Context(), d)
	if err != nil {
		return admission.Failed, err
	}
	defer resp.Body.Close()
	w, err := a.responses.Begin(d.Attempt)
	if err != nil {
		t.Fatal(err)
	}
	return a.copyResponse(t.Context(), d, w, resp, func() {}), nil
}
