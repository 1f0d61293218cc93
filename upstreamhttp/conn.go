package upstreamhttp

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// readBufferBytes holds the header of an answer and some events.
const readBufferBytes = 4 << 10

// idleMargin is how much sooner than the upstream a connection is given up, so
// that no request meets its close.
const idleMargin = 500 * time.Millisecond

// conn is one connection to an upstream.
type conn struct {
	net.Conn
	address string
	in      *bufio.Reader
	// reusable until when an idle connection may be used again.
	reusable time.Time
}

func newConn(c net.Conn, address string) *conn {
	return &conn{Conn: c, address: address, in: bufio.NewReaderSize(c, readBufferBytes)}
}

// abort closes the connection and discards what the upstream has not received
// yet, so that it can't run a request later that was given up.
func (c *conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// It fails only on a closed connection.
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

// idleFor is how long the upstream keeps the connection, if it says so.
func idleFor(h http.Header, otherwise time.Duration) time.Duration {
	for _, p := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(p), "timeout=")
		if !ok {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil {
			return time.Duration(s)*time.Second - idleMargin
		}
	}
	return otherwise
}

// quiet tells whether the upstream has neither closed an idle connection nor
// sent anything on it.
func (c *conn) quiet() bool {
	if c.in.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}
