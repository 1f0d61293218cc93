package ingress

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strings"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 64 << 10

// event is one complete server-sent event, including its closing blank line.
type event struct {
	text []byte
	// id is empty if the event has none.
	id string
}

// eventReader splits a stream into complete events.
type eventReader struct {
	in  *bufio.Reader
	buf []byte
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{in: bufio.NewReaderSize(r, 2<<10)}
}

// next returns the next event, valid until the next call. It returns io.EOF only
// between events, and io.ErrUnexpectedEOF if the stream ends within one.
func (r *eventReader) next() (event, error) {
	r.buf = r.buf[:0]
	var e event
	for {
		start := len(r.buf)
		if err := r.line(); err != nil {
			if err == io.EOF && len(r.buf) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return event{}, err
		}
		line := bytes.TrimRight(r.buf[start:], "\r\n")
		if len(line) == 0 {
			e.text = r.buf
			return e, nil
		}
		if id, ok := strings.CutPrefix(string(line), "id:"); ok {
			e.id = strings.TrimSpace(id)
		}
	}
}

// line appends one line including its line ending.
func (r *eventReader) line() error {
	for {
		part, err := r.in.ReadSlice('\n')
		r.buf = append(r.buf, part...)
		if len(r.buf) > maxEventBytes {
			return &EventSizeError{Bytes: len(r.buf)}
		}
		if err != bufio.ErrBufferFull {
			return err
		}
	}
}

// EventSizeError reports an event that exceeds maxEventBytes.
type EventSizeError struct{ Bytes int }

// Error implements error.
func (e *EventSizeError) Error() string {
	return fmt.Sprintf("event too long: read %d bytes, limit %d", e.Bytes, maxEventBytes)
}
