package router

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/laureltally/laureltally/internal/boundedhttp"
)

// Guards against a long answer that was aborted and looks complete, also to a caller of HTTP/1.0.
func TestAbortedLongAnswerIsNotComplete(t *testing.T) {
	ln, err := boundedhttp.Listen("tcp4", "127.0.0.1:0", callerLimits(Options{BodyTimeout: time.Second}))
	if err != nil {
		t.Fatal(err)
	}
	server := ln.Server(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s := newBufferedSink(w)
		s.Head(http.StatusOK, http.Header{})
		if err := s.Write(make([]byte, maxBufferedBytes+1)); err != nil {
			t.Error(err)
		}
		s.Abort(aborted)
		abort(w, r)
	}))
	go func() { _ = server.Serve(ln) }()
	defer server.Close()
	for _, proto := range []string{"HTTP/1.0", "HTTP/1.1"} {
		c, err := net.Dial("tcp4", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := fmt.Fprintf(c, "GET / %s\r\nHost: h\r\n\r\n", proto); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		if n, err := io.Copy(io.Discard, resp.Body); err == nil {
			t.Errorf("%s: complete after %d bytes", proto, n)
		}
	}
}
