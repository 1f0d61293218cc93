package httpclient

import (
	"net"
	"sync"

	"github.com/laureltally/laureltally/internal/headlimit"
	"github.com/laureltally/laureltally/internal/responsehead"
)

// conn is a connection whose reads are limited and checked while the head of a response is expected.
type conn struct {
	net.Conn

	mu     sync.Mutex
	limit  headlimit.Limiter
	syntax responsehead.Scanner
	// heads counts the heads that have begun.
	heads uint64
}

// beginHead starts a head and returns its number.
func (c *conn) beginHead() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heads++
	c.limit.Begin()
	c.syntax.Begin()
	return c.heads
}

// endHead ends a head and returns a *headlimit.SizeError if it exceeded the limits, or a
// *responsehead.SyntaxError if it was malformed. It does nothing if the connection is used for another
// request already.
func (c *conn) endHead(head uint64) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if head != c.heads {
		return nil
	}
	c.limit.End()
	if c.limit.Exceeded() {
		return &headlimit.SizeError{}
	}
	return c.syntax.Err()
}

// Read implements net.Conn. It fails with a *headlimit.SizeError at a limit of the head, and with a
// *responsehead.SyntaxError in place of the bytes of a malformed one, but for a byte of it: if the first
// read of a response fails on a reused connection, net/http repeats the request. The byte cannot end
// the head.
func (c *conn) Read(b []byte) (int, error) {
	c.mu.Lock()
	allowed, err := c.limit.Allowed(len(b))
	if err == nil {
		err = c.syntax.Err()
	}
	c.mu.Unlock()
	if err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b[:allowed])
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limit.Add(b[:n])
	if c.syntax.Add(b[:n]) != nil {
		return min(n, 1), nil
	}
	return n, err
}
