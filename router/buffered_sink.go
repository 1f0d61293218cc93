package router

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
)

// maxBufferedBytes is the size of the largest response that is buffered completely. A
// longer one is sent as it arrives.
const maxBufferedBytes = 1 << 20

// bufferedSink buffers a response until it is complete, so that an aborted attempt can be
// retried or result in an error status. If the budget for bodies has no room, it is sent as
// it arrives.
type bufferedSink struct {
	w       http.ResponseWriter
	status  int
	buffer  bytes.Buffer
	started bool
	aborted bool
	// held counts the buffer; it may be nil. counted is what it counts, in bytes.
	held    *heldBodies
	counted int
}

func newBufferedSink(w http.ResponseWriter) *bufferedSink { return &bufferedSink{w: w} }

// newBudgetedSink returns a bufferedSink for the response to a request that counts what it
// holds.
func newBudgetedSink(w http.ResponseWriter, r *http.Request) *bufferedSink {
	s := newBufferedSink(w)
	s.held = heldBy(r.Context())
	return s
}

// Head implements sink.
func (s *bufferedSink) Head(status int, header http.Header) {
	s.buffer.Reset()
	s.status = status
	copyHeader(s.w.Header(), header)
}

// Write implements sink.
func (s *bufferedSink) Write(data []byte) error {
	if !s.started && s.buffer.Len()+len(data) <= maxBufferedBytes && s.count(s.buffer.Len()+len(data)) {
		s.buffer.Write(data)
		return nil
	}
	if err := s.flushBuffer(); err != nil {
		return err
	}
	return s.send(data)
}

// count reports whether a number of bytes may be buffered. A buffer grows by doubling.
func (s *bufferedSink) count(size int) bool {
	more := 2*size - s.counted
	if more <= 0 {
		return true
	}
	if !s.held.add(more) {
		return false
	}
	s.counted += more
	return true
}

// Finish implements sink.
func (s *bufferedSink) Finish() error {
	if s.started {
		return nil
	}
	s.w.Header().Set("Content-Length", strconv.Itoa(s.buffer.Len()))
	return s.flushBuffer()
}

// FinishUnmarked implements sink. The end of the caller's connection marks the end, as that of
// the upstream's did. A response that was begun in chunks can't be ended so.
func (s *bufferedSink) FinishUnmarked() error {
	if s.started {
		return &UnmarkedEndError{}
	}
	s.w.Header().Set("Transfer-Encoding", "identity")
	return s.flushBuffer()
}

// Abort implements sink. A response of which a part was sent ends without its final
// chunk, which HTTP clients report as an error.
func (s *bufferedSink) Abort(f *Failure) {
	if s.started {
		s.aborted = true
		return
	}
	resetHeader(s.w.Header())
	f.write(s.w)
	s.started = true
}

// Started implements sink.
func (s *bufferedSink) Started() bool { return s.started }

func (s *bufferedSink) flushBuffer() error {
	if s.started {
		return nil
	}
	s.started = true
	s.w.WriteHeader(s.status)
	return s.send(s.buffer.Bytes())
}

func (s *bufferedSink) send(data []byte) error {
	if _, err := s.w.Write(data); err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	return nil
}
