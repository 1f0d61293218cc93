package ingress

import (
	"errors"
	"os"
	"syscall"
	"time"

	"github.com/apex/log"
	"golang.org/x/sys/unix"
)

// Write implements net.Conn. It is called by one goroutine at a time.
func (c *callerConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.write(p)
	c.cut = c.cut || err != nil
	return n, err
}

// write writes p or buffers it. Whenever nothing is pending, what remains of p goes to the socket
// directly, and a new flush begins if that takes only a part. The caller holds mu.
func (c *callerConn) write(p []byte) (int, error) {
	n := 0
	for n < len(p) {
		if c.err != nil {
			return n, c.err
		}
		if !c.flushing {
			written, err := c.writeToSocket(p[n:])
			if n += written; err != nil || n == len(p) {
				return n, err
			}
			c.startFlush()
		}
		taken := c.buffer(p[n:])
		if n += taken; taken == 0 && !c.waitForRoom() {
			return n, os.ErrDeadlineExceeded
		}
	}
	return n, nil
}

// writeToSocket writes what the socket takes of p, without waiting. The caller holds mu, and
// nothing is pending.
func (c *callerConn) writeToSocket(p []byte) (int, error) {
	c.toWrite = p
	err := c.raw.Write(c.direct)
	c.toWrite = nil
	if err == nil {
		err = c.writeErr
	}
	return c.written, err
}

// startFlush starts the goroutine that writes what is added to pending. The caller holds mu until
// it has added something.
func (c *callerConn) startFlush() {
	c.flushing = true
	c.held.hold(c, kernelOverhead*streamSendBuffer)
	c.held.stalled(c, c.held.now())
	go c.flush()
}

// writeDirect writes toWrite until all is written or the socket is full. It never waits.
func (c *callerConn) writeDirect(fd uintptr) bool {
	c.written, c.writeErr = 0, nil
	for c.written < len(c.toWrite) {
		n, err := syscall.Write(int(fd), c.toWrite[c.written:])
		switch {
		case n > 0:
			c.written += n
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			return true
		default:
			c.writeErr = os.NewSyscallError("write", err)
			return true
		}
	}
	return true
}

// buffer appends to pending as much as the limit and the budget allow. The caller holds
// mu.
func (c *callerConn) buffer(p []byte) int {
	unread := len(c.pending) - c.offset
	if len(c.body) > 0 && &p[len(p)-1] == &c.body[len(c.body)-1] && unread == 0 {
		c.adopt(p)
		return len(p)
	}
	n := max(0, min(len(p), c.pendingLimit-unread))
	for need := unread + n - freePendingBytes - c.pendingReserved; need > 0; {
		step := (need + reserveStep - 1) / reserveStep * reserveStep
		if c.whole {
			c.held.hold(c, step)
		} else if !c.held.reserve(c, step) {
			n = max(0, n-need)
			break
		}
		c.pendingReserved += step
		need -= step
	}
	if n > 0 && c.offset > 0 {
		c.pending = c.pending[:copy(c.pending, c.pending[c.offset:])]
		c.offset = 0
	}
	c.pending = append(c.pending, p[:n]...)
	return n
}

// adopt makes the rest of the response's body pending without a copy. What was reserved for
// the body is now reserved for pending. The caller holds mu.
func (c *callerConn) adopt(p []byte) {
	c.pendingReserved += c.responseBytes
	c.requestBytes -= c.responseBytes
	c.responseBytes = 0
	c.pending, c.offset, c.body = p[:len(p):len(p)], 0, nil
}

// waitForRoom waits until the caller has read half of pending, and reports whether that
// was before the write deadline. The caller holds mu.
func (c *callerConn) waitForRoom() bool {
	if !c.backpressure {
		c.backpressure = true
		c.held.hold(c, kernelOverhead*upstreamReceiveBuffer)
	}
	c.wakeAt = (len(c.pending) - c.offset) / 2
	defer func() { c.wakeAt = -1 }()
	if d := c.writeDeadline; !d.IsZero() {
		defer time.AfterFunc(d.Sub(c.held.now()), func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.room.Broadcast()
		}).Stop()
	}
	for c.err == nil && c.flushing && len(c.pending)-c.offset > c.wakeAt {
		if d := c.writeDeadline; !d.IsZero() && !c.held.now().Before(d) {
			return false
		}
		c.room.Wait()
	}
	return true
}

// flush writes pending and then ends.
func (c *callerConn) flush() {
	for done := false; !done; {
		_ = c.tcp.SetWriteDeadline(time.Now().Add(progressTimeout))
		err := c.raw.Write(c.drain)
		c.mu.Lock()
		if err == nil {
			err = c.writeErr
		}
		if done = err != nil || c.offset == len(c.pending); done {
			c.flushed(err)
		}
		c.mu.Unlock()
	}
}

// flushed ends the use of pending. The caller holds mu.
func (c *callerConn) flushed(err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) && c.err == nil {
		c.logDisconnected("caller disconnected, response not read", log.Fields{"bytes": len(c.pending) - c.offset, "stalled_ms": ms(progressTimeout)})
		c.held.metrics.readersDisconnected.Inc(1)
		_ = c.tcp.SetLinger(0)
	}
	if c.err == nil {
		c.err = err
	}
	_ = c.tcp.SetWriteDeadline(time.Time{})
	c.held.release(c, kernelOverhead*streamSendBuffer+c.pendingReserved)
	c.pending, c.offset, c.pendingReserved, c.flushing = nil, 0, 0, false
	switch {
	case !c.active && c.unsent() > 0:
		c.held.idle(c, lastBytesGrace)
	case !c.active:
		c.held.idle(c, 0)
	case c.owing:
		c.held.stalled(c, c.held.now())
	default:
		c.held.progressed(c)
	}
	c.room.Broadcast()
	if c.err != nil {
		// The server's read fails, and it closes the connection.
		_ = c.tcp.Close()
	}
	if c.closing {
		c.endWritten()
		_ = c.finish()
	}
}

// unsent returns how many bytes the kernel holds that the caller has not taken.
func (c *callerConn) unsent() (n int) {
	_ = c.raw.Control(func(fd uintptr) {
		if v, err := unix.IoctlGetInt(int(fd), unix.TIOCOUTQ); err == nil {
			n = v
		}
	})
	return n
}

// writePending writes what the socket takes of pending, and reports false if it takes
// nothing, which makes raw.Write wait.
func (c *callerConn) writePending(fd uintptr) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeErr = nil
	if c.err != nil {
		c.writeErr = c.err
		return true
	}
	if c.offset == len(c.pending) {
		return true
	}
	n, err := syscall.Write(int(fd), c.pending[c.offset:])
	switch {
	case n > 0:
		c.offset += n
		c.held.stalled(c, c.held.now())
		if len(c.pending)-c.offset <= c.wakeAt {
			c.room.Broadcast()
		}
	case errors.Is(err, syscall.EAGAIN):
		return false
	case !errors.Is(err, syscall.EINTR):
		c.writeErr = os.NewSyscallError("write", err)
	}
	return true
}
