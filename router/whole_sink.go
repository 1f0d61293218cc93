package router

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
)

// maxHeldBytes is how much of an answer is held back until it is whole. A longer
// one is passed on as it comes.
const maxHeldBytes = 1 << 20

// wholeSink holds an answer back until it is whole, so that a cut attempt can be
// retried or refused with a proper status.
type wholeSink struct {
	w       http.ResponseWriter
	status  int
	held    bytes.Buffer
	started bool
	cut     bool
}

func newWholeSink(w http.ResponseWriter) *wholeSink { return &wholeSink{w: w} }

// Head implements sink.
func (s *wholeSink) Head(status int, header http.Header) {
	s.held.Reset()
	s.status = status
	copyHeader(s.w.Header(), header)
}

// Write implements sink.
func (s *wholeSink) Write(data []byte) error {
	if !s.started && s.held.Len()+len(data) <= maxHeldBytes {
		s.held.Write(data)
		return nil
	}
	if err := s.flushHeld(); err != nil {
		return err
	}
	return s.send(data)
}

// Finish implements sink.
func (s *wholeSink) Finish() error {
	if s.started {
		return nil
	}
	s.w.Header().Set("Content-Length", strconv.Itoa(s.held.Len()))
	return s.flushHeld()
}

// Cut implements sink. An answer of which a part was sent ends without its
// closing chunk, which every HTTP client reports as an error.
func (s *wholeSink) Cut(f *Failure) {
	if s.started {
		s.cut = true
		return
	}
	resetHeader(s.w.Header())
	f.write(s.w)
	s.started = true
}

// Started implements sink.
func (s *wholeSink) Started() bool { return s.started }

func (s *wholeSink) flushHeld() error {
	if s.started {
		return nil
	}
	s.started = true
	s.w.WriteHeader(s.status)
	return s.send(s.held.Bytes())
}

func (s *wholeSink) send(data []byte) error {
	if _, err := s.w.Write(data); err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	return nil
}
