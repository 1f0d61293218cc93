package router

import (
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
