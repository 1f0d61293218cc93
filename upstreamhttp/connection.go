package upstreamhttp

import (
	"context"
	"slices"
	"time"
)

// Connection is a connection to an upstream that is held for one request. It ends with the
// upstream's process: what is known of the process at any time after EstablishedAt holds for what
// receives the request.
type Connection struct {
	client *Client
	conn   *conn
}

// EstablishedAt returns a time at which the connection had been established.
func (c *Connection) EstablishedAt() time.Time { return c.conn.establishedAt }

// Release keeps the connection for reuse. It must not have been used.
func (c *Connection) Release() {
	c.client.put(c.conn, c.conn.reusableUntil.Sub(c.client.opts.Now()))
}

// Connect returns a connection to an upstream VM: an idle one that was established before a time, if
// there is one, or else a new one. It fails with a *DialError.
func (c *Client) Connect(ctx context.Context, address string, before time.Time) (*Connection, error) {
	cn := c.takeReusable(func() *conn { return c.takeEstablished(address, before) })
	if cn != nil {
		return &Connection{c, cn}, nil
	}
	cn, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	cn.reusableUntil = c.opts.Now().Add(c.opts.IdleTimeout)
	return &Connection{c, cn}, nil
}

// SendOn is like Send over a connection, which is used up.
func (c *Client) SendOn(ctx context.Context, cn *Connection, r *Request) (*Response, error) {
	return c.send(ctx, cn.conn, r)
}

// takeEstablished takes the most recently used idle connection that was established before a time.
func (c *Client) takeEstablished(address string, before time.Time) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	for i, cn := range slices.Backward(list) {
		if cn.establishedAt.Before(before) {
			c.idle[address] = slices.Delete(list, i, i+1)
			return cn
		}
	}
	return nil
}
