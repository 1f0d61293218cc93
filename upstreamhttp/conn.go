package upstreamhttp

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/laureltally/laureltally/internal/resetconn"
)

// readBufferBytes is enough for the header of a response and a few events.
const readBufferBytes = 4 << 10

// idleMargin is the time before the upstream's idle timeout at which a connection stops
// being reused, so that no request is sent while the upstream closes it.
const idleMargin = 500 * time.Millisecond

// conn is one connection to an upstream.
type conn struct {
	*resetconn.Conn
	address string
	in      *bufio.Reader
	head    *headReader
	// reusableUntil is the time until which an idle connection may be reused.
	reusableUntil time.Time
	// establishedAt is a time right after the connection was established.
	establishedAt time.Time
	// used is set once a request has been sent.
	used bool
}

func newConn(c net.Conn, address string) *conn {
	rc := resetconn.New(c)
	head := &headReader{in: rc}
	return &conn{Conn: rc, address: address, in: bufio.NewReaderSize(head, readBufferBytes), head: head}
}

// abort resets the connection and discards the data that the upstream has not received
// yet, so that it can't execute an abandoned request later.
func (c *conn) abort() {
	if tcp, ok := c.NetConn().(*net.TCPConn); ok {
		// SetLinger fails only on a closed connection.
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

// idleFor returns for how long an idle connection may be reused: the timeout of the
// Keep-Alive header less idleMargin, or fallback if there is none.
func idleFor(h http.Header, fallback time.Duration) time.Duration {
	for _, p := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(p), "timeout=")
		if !ok {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil {
			return time.Duration(s)*time.Second - idleMargin
		}
	}
	return fallback
}

// quiet reports whether the upstream has neither closed an idle connection nor sent
// anything on it.
func (c *conn) quiet() bool {
	if c.in.Buffered() > 0 {
		return false
	}
	sc, ok := c.NetConn().(syscall.Conn)
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
