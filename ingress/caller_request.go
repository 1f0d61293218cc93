package ingress

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/laureltally/laureltally/heldbytes"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/upstreamhttp"
)

const (
	// firstBodyBytes is the part of a body that is included in activeRequestBytes.
	firstBodyBytes = 2 << 10
	// responseStep is the step in which whole responses are reserved as they are read.
	responseStep = 16 << 10
	// copyBufferBytes is the size of the buffer with which io.Copy relays.
	copyBufferBytes = 32 << 10
)

// callerConnKey is the context key of a caller's connection.
type callerConnKey struct{}

// callerConnOf returns the connection of a request, or nil if there is no budget.
func callerConnOf(ctx context.Context) *callerConn {
	c, _ := ctx.Value(callerConnKey{}).(*callerConn)
	return c
}

// begin starts a request and reports whether the connection still works. If the caller has
// left most of an earlier response unread, it waits: the responses of such callers would
// pile up.
func (c *callerConn) begin(id string) bool {
	if c == nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.err == nil && len(c.pending)-c.offset > streamBufferBytes {
		c.wakeAt = streamBufferBytes
		c.room.Wait()
	}
	c.wakeAt = -1
	c.request, c.tenant, c.active = id, "", c.err == nil
	c.pendingLimit, c.whole, c.backpressure, c.body = streamBufferBytes, false, false, nil
	n := c.headerReserved
	if c.ahead {
		n += kernelOverhead * callerReceiveBuffer
	}
	c.held.release(c, n)
	c.header, c.headerLines, c.headerReserved, c.ahead, c.owing = 0, 0, 0, false, false
	if c.err != nil {
		return false
	}
	if c.held.begun(c, !c.flushing) {
		c.requestBytes, c.requestFiles = activeRequestBytes, 1
	}
	return true
}

// admits reports whether there was room for the request, and reserves what its header takes as
// long as it lives. What has been counted while it was read may have been a part of it only, or
// a part of the body as well.
func (c *callerConn) admits(headerBytes, fields int) bool {
	if c == nil {
		return true
	}
	return c.requestFiles > 0 && c.reserve(headerCost(headerBytes, fields))
}

// end gives back what is held for the request.
func (c *callerConn) end() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	n, files := c.requestBytes, c.requestFiles
	if c.backpressure {
		n += kernelOverhead * upstreamReceiveBuffer
	}
	c.requestBytes, c.responseBytes, c.requestFiles, c.active, c.backpressure, c.body = 0, 0, 0, false, false, nil
	c.awaitsBody.Store(false)
	c.owing = false
	c.held.ended(c, n, files, !c.flushing)
}

// hold takes bytes for the request, also beyond the budget.
func (c *callerConn) hold(n int) {
	if c != nil && n > 0 {
		c.requestBytes += n
		c.held.hold(c, n)
	}
}

// admitMore takes bytes for a request that has not been sent to an upstream, also beyond the
// budget, but not without a bound.
func (c *callerConn) admitMore(n int) bool {
	if !c.held.admit(c, n) {
		return false
	}
	c.requestBytes += n
	return true
}

// reserve takes bytes for the request if they fit into the budget.
func (c *callerConn) reserve(n int) bool {
	if c == nil || n <= 0 {
		return true
	}
	if !c.held.reserve(c, n) {
		return false
	}
	c.requestBytes += n
	return true
}

// admitted records whose request it is and how urgent.
func (c *callerConn) admitted(tenant ident.Tenant, u heldbytes.Urgency) {
	if c == nil {
		return
	}
	c.mu.Lock()
	c.tenant = tenant
	c.mu.Unlock()
	c.held.setUrgency(c, u)
}

// beginStream prepares the connection for a response that consists of small events.
func (c *callerConn) beginStream() {
	if c != nil {
		// It fails only on a closed connection.
		_ = c.tcp.SetWriteBuffer(streamSendBuffer)
	}
}

// beginWhole prepares the connection for a response that was received to its end. All of
// it is buffered if the caller does not read it, so that neither the request nor its
// reservation at the upstream has to wait for the caller. The body must not be changed any
// more.
func (c *callerConn) beginWhole(body []byte) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pendingLimit, c.whole, c.body = wholeBufferBytes, true, body
}

// readBody reads a request body of the given length, or -1 if unknown, of at most limit
// bytes unless that is zero. It fails with a *NoRoomError if the body is not small and
// does not fit into the budget, and with os.ErrDeadlineExceeded if it is not complete at a
// time. A caller that sends slowly is stalled meanwhile.
func (c *callerConn) readBody(body io.Reader, length, limit int64, by time.Time) ([]byte, error) {
	if limit > 0 && length > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	if c == nil {
		return io.ReadAll(body)
	}
	if length == 0 {
		return nil, nil
	}
	before := c.requestBytes
	c.awaitBody(length, by)
	b, err := c.collectBody(body, length)
	if err = c.bodyEnded(err); err != nil {
		c.held.release(c, c.requestBytes-before)
		c.requestBytes = before
		return nil, err
	}
	return b, nil
}

func (c *callerConn) collectBody(body io.Reader, length int64) ([]byte, error) {
	b := make([]byte, 0, firstBodyBytes)
	switch {
	case length > smallBodyBytes:
		if !c.reserve(int(length)) {
			return nil, &NoRoomError{Bytes: length}
		}
	case length > firstBodyBytes:
		if !c.admitMore(int(length)) {
			return nil, &NoRoomError{Bytes: length}
		}
	}
	for {
		if len(b) == cap(b) {
			grown := c.growBody(b, length)
			if grown == nil {
				return nil, &NoRoomError{Bytes: int64(cap(b))}
			}
			b = grown
		}
		n, err := body.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if errors.Is(err, io.EOF) {
			return b, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// growBody returns b with twice its capacity, or nil if there is no room. A known length
// has been taken before.
func (c *callerConn) growBody(b []byte, length int64) []byte {
	size := 2 * cap(b)
	if length < 0 && size > callerReceiveBuffer {
		c.mu.Lock()
		c.raiseReceiveBuffer()
		c.mu.Unlock()
	}
	switch {
	case length >= 0:
		// One byte more lets the end of the body be read without growing once more.
		size = max(min(size, int(length)+1), cap(b)+1)
	case size <= smallBodyBytes:
		if !c.admitMore(size - cap(b)) {
			return nil
		}
	case !c.reserve(size - cap(b)):
		return nil
	}
	return append(make([]byte, 0, size), b...)
}

// reserveResponse reserves room for a response that is buffered to its end and returns the
// reader to read it from, or false if the budget has no room for it.
func (c *callerConn) reserveResponse(r *upstreamhttp.Response, body *bytes.Buffer) (io.Reader, bool) {
	if c == nil {
		return r, true
	}
	// An earlier attempt may have broken off its response.
	c.held.release(c, c.responseBytes)
	c.requestBytes -= c.responseBytes
	c.responseBytes = 0
	if r.Length < 0 {
		return &reservingReader{in: r, conn: c}, true
	}
	size := int(min(r.Length, maxWholeBytes))
	if size > firstBodyBytes && !c.reserveForResponse(size) {
		return nil, false
	}
	body.Grow(size + bytes.MinRead)
	return r, true
}

// reserveForResponse takes bytes for a whole response if they fit into the budget.
func (c *callerConn) reserveForResponse(n int) bool {
	if !c.reserve(n) {
		return false
	}
	c.responseBytes += n
	return true
}

// reservingReader reserves what is read into a buffer that grows by doubling, in steps. It
// fails with a *NoRoomError beside the last bytes once they don't fit.
type reservingReader struct {
	in             io.Reader
	conn           *callerConn
	read, reserved int
}

// Read implements io.Reader.
func (r *reservingReader) Read(p []byte) (int, error) {
	n, err := r.in.Read(p)
	r.read += n
	for err == nil && 2*r.read > firstBodyBytes+r.reserved {
		if !r.conn.reserveForResponse(responseStep) {
			return n, &NoRoomError{Bytes: responseStep}
		}
		r.reserved += responseStep
	}
	return n, err
}
