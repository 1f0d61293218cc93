package ingress

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// takeBufferedBody discards the body of a request that is refused if all of it arrived with the
// header, and reports whether it did, so that the connection can be kept. It never waits.
func (d *delivery) takeBufferedBody() bool {
	if d.r.ContentLength > headerReadAhead || d.r.Header.Get("Expect") != "" {
		return false
	}
	// With a time in the past, only what net/http has buffered can be read. At the end of the
	// body, net/http sets another one.
	if http.NewResponseController(d.w).SetReadDeadline(time.Unix(1, 0)) != nil {
		return false
	}
	_, err := io.CopyN(io.Discard, d.r.Body, headerReadAhead+1)
	return errors.Is(err, io.EOF)
}

// discardBody sends the response and reads on for a bounded time: if bytes are left unread when
// the connection is closed, it is reset, possibly before the caller has read the response.
func (d *delivery) discardBody() {
	rc := http.NewResponseController(d.w)
	if rc.Flush() != nil || d.s.forceStop.Err() != nil {
		return
	}
	// net/http reads up to 256 KB after the handler, until this time.
	if rc.SetReadDeadline(time.Now().Add(discardTime)) != nil || d.r.Header.Get("Expect") != "" {
		return
	}
	d.conn.discards()
	_, _ = io.CopyN(io.Discard, d.r.Body, discardBytes)
}
