package router

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/laureltally/laureltally/wire"
)

var aborted = &Failure{Code: wire.CodeUpstreamLost, Run: wire.RunStateUnknown, Detail: "lost"}

// A response that is aborted before or after its first byte was sent must not look
// complete to the caller.
func TestAbortedResponsesDoNotLookComplete(t *testing.T) {
	t.Run("stream before its first byte", func(t *testing.T) {
		rec := httptest.NewRecorder()
		s := newStreamSink(rec)
		s.Head(http.StatusOK, http.Header{"Content-Type": {"text/event-stream"}})
		s.Abort(aborted)
		if rec.Code != http.StatusBadGateway || rec.Header().Get("Content-Type") != "application/json" {
			t.Fatalf("%d %v", rec.Code, rec.Header())
		}
	})
	t.Run("stream after its first byte", func(t *testing.T) {
		rec := httptest.NewRecorder()
		s := newStreamSink(rec)
		s.Head(http.StatusOK, http.Header{})
		if err := s.Write([]byte("data: {}\n\n")); err != nil {
			t.Fatal(err)
		}
		s.Abort(aborted)
		body := rec.Body.String()
		if !strings.Contains(body, `"code":"upstream_lost"`) || strings.Contains(body, "[DONE]") {
			t.Fatalf("body %q", body)
		}
	})
	t.Run("buffered response", func(t *testing.T) {
		rec := httptest.NewRecorder()
		rec.Header().Set(HeaderRequestID, "id")
		s := newBufferedSink(rec)
		s.Head(http.StatusOK, http.Header{"X-Upstream": {"1"}})
		if err := s.Write([]byte("part")); err != nil {
			t.Fatal(err)
		}
		s.Abort(aborted)
		if rec.Code != http.StatusBadGateway || strings.Contains(rec.Body.String(), "part") || rec.Header().Get("X-Upstream") != "" || rec.Header().Get(HeaderRequestID) != "id" {
			t.Fatalf("%d %v %q", rec.Code, rec.Header(), rec.Body.String())
		}
	})
	t.Run("long response sent in part", func(t *testing.T) {
		s := newBufferedSink(httptest.NewRecorder())
		s.Head(http.StatusOK, http.Header{})
		if err := s.Write(make([]byte, maxBufferedBytes+1)); err != nil {
			t.Fatal(err)
		}
		s.Abort(aborted)
		if !s.aborted {
			t.Fatal("the connection would end cleanly")
		}
	})
}

// Guards against an answer whose end only the upstream's connection marked, and that is passed on
// with a length or in chunks: a server that was killed ends its connections in the same way.
func TestUnmarkedEndIsNotStatedToBeOne(t *testing.T) {
	for name, size := range map[string]int{"buffered": 4, "sent in part": maxBufferedBytes + 1} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				s := newBufferedSink(w)
				s.Head(http.StatusOK, http.Header{})
				if err := s.Write(make([]byte, size)); err != nil {
					t.Error(err)
				}
				if s.FinishUnmarked() != nil {
					s.Abort(aborted)
					panic(http.ErrAbortHandler)
				}
			}))
			defer server.Close()
			resp, err := http.Get(server.URL)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			marked := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
			if n, err := io.Copy(io.Discard, resp.Body); err == nil && marked {
				t.Errorf("%d bytes, complete", n)
			}
		})
	}
}
