package ingress

import (
	"bytes"
	"io"
	"net"
	"time"

	"github.com/apex/log"
)

const (
	// discardTime and discardBytes bound what is read of a request that has been refused, so
	// that its caller gets the response before the connection ends.
	discardTime  = 500 * time.Millisecond
	discardBytes = 8 << 20
	// minFieldBytes is the size of the shortest field of a header.
	minFieldBytes = 4
	// headerTooLarge is the response to a header that is not read to its end, as it would hold
	// more than any within the configured limit.
	headerTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// lineEnd ends a field, and headerEnd a header.
var lineEnd, headerEnd = []byte("\n"), []byte("\n\r\n")

// Read implements net.Conn. Bytes outside of a request belong to the header of the next one.
func (c *callerConn) Read(p []byte) (int, error) {
	if c.awaitsBody.Load() {
		c.beginOwing()
	}
	n, err := c.tcp.Read(p)
	if n <= 0 {
		return n, err
	}
	if refused := c.received(p[:n]); refused != nil {
		if refused.tooLarge {
			c.refuseHeader()
		}
		// net/http closes the connection without a response of its own.
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: refused}
	}
	return n, err
}

// received counts what has been read.
func (c *callerConn) received(p []byte) *headerRefusedError {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closing:
		return &headerRefusedError{}
	case !c.active:
		return c.countHeader(p)
	case c.owing:
		c.held.received(c, len(p))
	case !c.ahead:
		// net/http reads one byte while a request is being served.
		c.ahead = true
		c.held.hold(c, kernelOverhead*callerReceiveBuffer)
	}
	return nil
}

// countHeader reserves what a part of a header takes, also once it has been parsed. The caller
// holds mu.
func (c *callerConn) countHeader(p []byte) *headerRefusedError {
	if c.header == 0 && !c.flushing {
		c.held.idle(c, 0)
	}
	c.header += len(p)
	if end := bytes.Index(p, headerEnd); end >= 0 {
		c.headerLines += bytes.Count(p[:end], lineEnd)
	} else {
		c.headerLines += bytes.Count(p, lineEnd)
	}
	cost := headerCost(c.header, c.headerLines)
	if cost > c.held.maxHeaderCost() {
		c.logDisconnected("caller disconnected, header too large", log.Fields{"bytes": c.header, "lines": c.headerLines})
		return &headerRefusedError{bytes: c.header, tooLarge: true}
	}
	need := cost - c.headerReserved
	if need <= 0 {
		return nil
	}
	need = (need + reserveStep - 1) / reserveStep * reserveStep
	if !c.held.reserve(c, need) {
		c.logDisconnected("caller disconnected, no room for its header", log.Fields{"bytes": c.header, "lines": c.headerLines})
		return &headerRefusedError{bytes: c.header}
	}
	c.headerReserved += need
	return nil
}

// headerCost returns what a header of a number of bytes and fields takes beyond the allowance of
// a request.
func headerCost(size, fields int) int {
	return max(0, size-freeHeaderBytes) + headerFieldBytes*max(0, fields-freeHeaderFields)
}

// refuseHeader responds to a header that is too large and discards the rest of it for a bounded
// time, since an unread rest resets the connection before the caller has read the response.
func (c *callerConn) refuseHeader() {
	if _, err := io.WriteString(c, headerTooLarge); err != nil {
		return
	}
	_ = c.CloseWrite()
	_ = c.SetReadDeadline(time.Now().Add(discardTime))
	_, _ = io.CopyN(io.Discard, c.tcp, discardBytes)
}

// awaitBody prepares the read of a body of a length, or -1, that has to be complete at a time.
func (c *callerConn) awaitBody(length int64, by time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readBy, c.large = by, length > callerReceiveBuffer
	c.awaitsBody.Store(true)
}

// beginOwing records that the caller owes a part of its request, from before the first byte of
// it. Until then, neither a timer nor the budget has been touched.
func (c *callerConn) beginOwing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.awaitsBody.Swap(false) || c.closing {
		return
	}
	_ = c.tcp.SetReadDeadline(c.readBy)
	c.owes()
	if c.large {
		c.raiseReceiveBuffer()
	}
}

// raiseReceiveBuffer lets the caller send more at a time, if there is room for it. The caller
// holds mu.
func (c *callerConn) raiseReceiveBuffer() {
	if !c.raised && c.held.spare(c, bodyReceiveBuffer) {
		c.raised = true
		_ = c.tcp.SetReadBuffer(bodyReceiveBuffer)
	}
}

// owes records that the caller owes a part of its request. The caller holds mu.
func (c *callerConn) owes() {
	c.owing = true
	if !c.flushing {
		c.held.stalled(c, c.held.now())
	}
}

// discards records that the caller owes the rest of a body that is not used.
func (c *callerConn) discards() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owes()
}

// endOwing records that nothing is expected from the caller any more. The caller holds mu.
func (c *callerConn) endOwing() {
	c.awaitsBody.Store(false)
	if !c.owing {
		return
	}
	c.owing = false
	if !c.flushing {
		c.held.progressed(c)
	}
}

// bodyEnded records that the body has been read or has failed, with the error of that, or with
// net.ErrClosed if the caller is being disconnected since it owed it for too long: the request
// must not run then.
func (c *callerConn) bodyEnded(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endOwing()
	if c.large = false; c.raised {
		c.raised = false
		_ = c.tcp.SetReadBuffer(callerReceiveBuffer)
		c.held.release(c, bodyReceiveBuffer)
	}
	if err == nil && c.held.leaving(c) {
		return net.ErrClosed
	}
	return err
}

// SetReadDeadline implements net.Conn. A closing connection keeps the one in the past that
// ends the server's read. The server sets one at the end of a body, before it reads on in the
// background.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return nil
	}
	if c.active && t.IsZero() {
		c.endOwing()
	}
	c.awaitsBody.Store(false)
	return c.tcp.SetReadDeadline(t)
}
