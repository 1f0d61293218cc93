package resetconn

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// Conn is a TCP connection whose Read returns io.EOF only if the peer has ended its side. Reads and
// writes may run side by side, one of each at a time.
type Conn struct {
	net.Conn

	// writing is held during a write.
	writing sync.Mutex
	// taken is the error that a write took from the socket, or nil.
	taken error
}

// New returns a Conn that takes over a connection.
func New(c net.Conn) *Conn { return &Conn{Conn: c} }

// NetConn returns the connection that was taken over.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if breaksReads(err) {
		c.taken = err
	}
	return n, err
}

// Read implements net.Conn. At the end of the stream, it ends a write that is under way. If a write
// has taken the error that the read should have got, it fails with that.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	// It fails only on a closed connection, whose writes end by themselves.
	_ = c.Conn.SetWriteDeadline(time.Unix(1, 0))
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.taken != nil {
		return n, fmt.Errorf("connection failed during a write: %w", c.taken)
	}
	return n, err
}

// breaksReads reports whether the error of a write is one that the socket holds once. After the end
// that the peer has sent, the kernel reports a reset as EPIPE; errors that are no system call's, such
// as a deadline, leave the socket as it is.
func breaksReads(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.EPIPE
}
