package boundedhttp

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// deadlineSlack is the divisor for the part of ProgressTimeout by which a write may be given
// up too early, so that the deadline is not set for each write.
const deadlineSlack = 4

// conn is a connection with a place.
type conn struct {
	net.Conn
	l *Listener
	// peer is guarded by l.mu.
	peer   peer
	remove func()

	mu sync.Mutex
	// started is set with the first Read. receiving is set while a header is received.
	started, receiving bool
	// fresh is set until a part of the header has come. owing is set while a body is
	// received.
	fresh, owing bool
	meter        headerMeter
	// headerHeld is what is held of the budget for large headers.
	headerHeld int

	// deadlineSet is when the write deadline was set, and wholeDeadline the one that the
	// server has set for the whole response, or zero. They are used by the goroutine that
	// writes.
	deadlineSet, wholeDeadline time.Time
}

func newConn(accepted net.Conn, l *Listener) *conn {
	c := &conn{Conn: accepted, l: l, receiving: true, fresh: true}
	c.meter = headerMeter{freeBytes: l.limits.HeaderBytes, freeLines: l.limits.HeaderLines, bodies: l.limits.BodyTimeout > 0}
	c.peer.ready, c.peer.reset = c.unread, c.reset
	c.remove = sync.OnceFunc(func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.releaseHeader()
		l.remove(c)
	})
	return c
}

// Read implements net.Conn. It fails with a *HeaderError beyond the limits of a header.
func (c *conn) Read(p []byte) (int, error) {
	if c.begin() {
		c.wait()
	}
	n, err := c.Conn.Read(p)
	if n <= 0 {
		return n, err
	}
	arrived, tooLarge := c.measure(p[:n])
	if tooLarge != nil {
		return 0, tooLarge
	}
	if arrived {
		c.wait()
	}
	return n, err
}

// begin reports whether this is the first Read.
func (c *conn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := !c.started
	c.started = true
	return first
}

// measure reports whether the client is to be waited for anew: p is the beginning of a header
// or a part of a body. It fails if the header exceeds its limits.
func (c *conn) measure(p []byte) (arrived bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	arrived = c.receiving && c.fresh || c.owing
	if c.receiving {
		c.fresh = false
	}
	more := c.meter.add(p) - c.headerHeld
	if more <= 0 {
		return arrived, nil
	}
	if c.meter.bytes > max(c.l.limits.HeaderBytes, c.l.limits.LargeHeaderBytes) || !c.l.reserveHeader(more) {
		return arrived, &HeaderError{Bytes: c.meter.bytes, Lines: c.meter.lines}
	}
	c.headerHeld += more
	return arrived, nil
}

// releaseHeader gives back what is held of the budget for large headers. The caller holds mu.
func (c *conn) releaseHeader() {
	if c.headerHeld > 0 {
		c.l.releaseHeader(c.headerHeld)
		c.headerHeld = 0
	}
}

func (c *conn) wait() {
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	c.l.admission.wait(&c.peer, time.Now())
	c.l.changed.Signal()
}

// serve notes that a header was received.
func (c *conn) serve() {
	c.mu.Lock()
	c.receiving = false
	c.mu.Unlock()
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	c.l.admission.serve(&c.peer)
}

// owe notes that the client has to send a body.
func (c *conn) owe() {
	c.mu.Lock()
	c.owing = true
	c.mu.Unlock()
	c.wait()
}

// received notes that a body has come.
func (c *conn) received() {
	c.mu.Lock()
	c.owing = false
	c.mu.Unlock()
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	c.l.admission.received(&c.peer)
}

// idle notes that a request has ended.
func (c *conn) idle() {
	c.mu.Lock()
	c.receiving, c.fresh, c.owing = true, true, false
	c.meter.next()
	c.releaseHeader()
	c.mu.Unlock()
	c.wait()
}

// Write implements net.Conn. It continues as long as the client takes a part within each
// ProgressTimeout, up to the deadline for the whole response.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	for {
		now := time.Now()
		c.peer.writing.Store(now.UnixNano())
		if err := c.extend(now); err != nil {
			c.peer.writing.Store(0)
			return written, err
		}
		n, err := c.Conn.Write(p[written:])
		c.peer.writing.Store(0)
		written += n
		if err == nil {
			return written, nil
		}
		if n == 0 || !errors.Is(err, os.ErrDeadlineExceeded) || c.late() {
			c.discard()
			return written, err
		}
		c.deadlineSet = time.Time{}
	}
}

// extend moves the write deadline if it has come nearer than ProgressTimeout allows.
func (c *conn) extend(now time.Time) error {
	limit := c.l.limits.ProgressTimeout
	if now.Sub(c.deadlineSet) < limit/deadlineSlack {
		return nil
	}
	deadline := now.Add(limit)
	if !c.wholeDeadline.IsZero() && c.wholeDeadline.Before(deadline) {
		deadline = c.wholeDeadline
	}
	c.deadlineSet = now
	return c.Conn.SetWriteDeadline(deadline)
}

// late reports whether the deadline for the whole response has passed.
func (c *conn) late() bool {
	return !c.wholeDeadline.IsZero() && !time.Now().Before(c.wholeDeadline)
}

// SetWriteDeadline implements net.Conn. It sets the deadline for the whole response.
func (c *conn) SetWriteDeadline(t time.Time) error {
	if !t.Equal(c.wholeDeadline) {
		c.wholeDeadline, c.deadlineSet = t, time.Time{}
	}
	return nil
}

// CloseWrite closes the sending half, if the connection has halves. The server calls it half
// a second before it closes a connection whose client still sends a body.
func (c *conn) CloseWrite() error {
	c.l.mu.Lock()
	c.l.admission.end(&c.peer)
	c.l.mu.Unlock()
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn. It gives the place back.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.remove()
	return err
}

// SetLinger sets how a TCP connection is closed, like the method of net.TCPConn.
func (c *conn) SetLinger(sec int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(sec)
	}
	return nil
}

// reset closes the connection, but gives the place not yet back.
func (c *conn) reset() {
	c.discard()
	_ = c.Conn.Close()
}

// discard makes the kernel discard what it holds when the connection is closed. It fails only on
// a closed connection.
func (c *conn) discard() { _ = c.SetLinger(0) }
