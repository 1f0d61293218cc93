package upstreamhttp

import (
	"cmp"
	"errors"
	"io"
	"net/http"

	"github.com/laureltally/laureltally/internal/responsehead"
)

// Response is a response whose body has not been read yet. It is used by one
// goroutine, which calls Close once.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, or -1 if unknown.
	Length int64
	// Framing is how the end of the body is marked.
	Framing Framing

	resp *http.Response
	x    *exchange
	// complete is set when the body has been read completely.
	complete bool
}

// Read reads the body. It returns io.EOF only at the end of a complete body, and a
// *ConnectionError if the body is truncated or its trailer is malformed.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.resp.Body.Read(b)
	if errors.Is(err, io.EOF) {
		err = cmp.Or(responsehead.CheckTrailer(r.resp), err)
	}
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		r.complete = true
	default:
		err = &ConnectionError{Address: r.x.conn.address, Stage: StageBody, Err: err}
	}
	return n, err
}

// Skip discards the body, so that the connection can be reused if it ends soon.
func (r *Response) Skip() { r.complete = r.x.skip(r.resp.Body) }

// Close makes the connection available for reuse if the response was complete and
// nothing follows it, and closes the connection otherwise.
func (r *Response) Close() {
	inTime := r.x.stop()
	keep := idleFor(r.Header, r.x.client.opts.IdleTimeout)
	if inTime && r.complete && !r.resp.Close && r.x.sent() && r.x.conn.in.Buffered() == 0 {
		r.x.client.put(r.x.conn, keep)
		return
	}
	r.x.conn.abort()
}
