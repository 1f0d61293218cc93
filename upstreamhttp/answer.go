package upstreamhttp

import (
	"errors"
	"io"
	"net/http"
)

// Response is an answer whose body is still to be read. It is used by one
// goroutine, which calls Close once.
type Response struct {
	Status int
	Header http.Header
	// Length is that of the body, or -1 if the upstream did not say.
	Length int64

	resp *http.Response
	x    *exchange
	// whole is set when the body was read to its proper end.
	whole bool
}

// Read reads the body. It returns io.EOF only at the end of a whole body, and a
// *BrokenError if it is cut off.
func (a *Response) Read(b []byte) (int, error) {
	n, err := a.resp.Body.Read(b)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		a.whole = true
	default:
		err = &BrokenError{Address: a.x.conn.address, Stage: StageBody, Err: err}
	}
	return n, err
}

// Close gives the connection back if the answer was whole and nothing follows
// it, and closes it otherwise.
func (a *Response) Close() {
	inTime := a.x.stop()
	keep := idleFor(a.Header, a.x.client.opts.IdleTimeout)
	if inTime && a.whole && !a.resp.Close && a.x.sent() && a.x.conn.in.Buffered() == 0 {
		a.x.client.put(a.x.conn, keep)
		return
	}
	a.x.conn.abort()
}
