package router

import (
	"fmt"
	"net/http"
)

// streamSink sends server-sent events as they arrive.
type streamSink struct {
	w       http.ResponseWriter
	rc      *http.ResponseController
	status  int
	started bool
}

func newStreamSink(w http.ResponseWriter) *streamSink {
	return &streamSink{w: w, rc: http.NewResponseController(w)}
}

// Head implements sink. The status is sent with the first part of the body, so that an
// attempt that yields no body can still be retried.
func (s *streamSink) Head(status int, header http.Header) {
	s.status = status
	copyHeader(s.w.Header(), header)
	s.w.Header().Del("Content-Length")
}

// Write implements sink.
func (s *streamSink) Write(data []byte) error {
	s.start()
	if _, err := s.w.Write(data); err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	if err := s.rc.Flush(); err != nil {
		return fmt.Errorf("flush to caller: %w", err)
	}
	return nil
}

// Finish implements sink.
func (s *streamSink) Finish() error {
	s.start()
	return nil
}

// FinishUnmarked implements sink. The API's final event marks the end for the caller.
func (s *streamSink) FinishUnmarked() error { return s.Finish() }

// Abort implements sink. It sends the failure as an event of the stream, which then ends
// without the API's final event.
func (s *streamSink) Abort(f *Failure) {
	if !s.started {
		resetHeader(s.w.Header())
		f.write(s.w)
		s.started = true
		return
	}
	_, _ = fmt.Fprintf(s.w, "\n\ndata: %s\n\n", f.body())
	_ = s.rc.Flush()
}

// Started implements sink.
func (s *streamSink) Started() bool { return s.started }

func (s *streamSink) start() {
	if s.started {
		return
	}
	s.started = true
	s.w.WriteHeader(s.status)
}
