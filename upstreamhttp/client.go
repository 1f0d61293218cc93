package upstreamhttp

import (
	"bytes"
	"context"
	"net"
	"sync"
	"time"

	"github.com/laureltally/laureltally/internal/sockopt"
)

// Client sends requests to upstream VMs and keeps idle connections for reuse. It is
// safe for concurrent use.
type Client struct {
	opts   Options
	dialer net.Dialer

	mu sync.Mutex
	// idle holds the idle connections by address, the most recently used last.
	idle map[string][]*conn
}

// New returns a Client, which has no connections yet.
func New(o Options) *Client {
	o = o.withDefaults()
	return &Client{
		opts: o,
		dialer: net.Dialer{
			Timeout:         o.DialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: o.UnackedTimeout, Interval: o.UnackedTimeout, Count: 2},
			Control:         sockopt.All(sockopt.UserTimeout(o.UnackedTimeout), sockopt.ReceiveBuffer(o.ReceiveBuffer)),
		},
		idle: make(map[string][]*conn),
	}
}

// Send sends a request and returns the response once its header has been read. The
// connection is closed if ctx ends before Response.Close. Send fails with a *DialError
// if nothing was sent, or else with a *ConnectionError.
func (c *Client) Send(ctx context.Context, address string, r *Request) (*Response, error) {
	cn, err := c.conn(ctx, address)
	if err != nil {
		return nil, err
	}
	return c.send(ctx, cn, r)
}

func (c *Client) send(ctx context.Context, cn *conn, r *Request) (*Response, error) {
	x := &exchange{client: c, conn: cn, ctx: ctx, request: r}
	x.stop = context.AfterFunc(ctx, cn.abort)
	return x.run()
}

// Probe connects to an address and keeps the connection for reuse. It fails with a
// *DialError.
func (c *Client) Probe(ctx context.Context, address string) error {
	cn, err := c.dial(ctx, address)
	if err != nil {
		return err
	}
	c.put(cn, c.opts.IdleTimeout)
	return nil
}

// CloseIdle closes the idle connections to an address.
func (c *Client) CloseIdle(address string) {
	c.mu.Lock()
	old := c.idle[address]
	delete(c.idle, address)
	c.mu.Unlock()
	for _, cn := range old {
		cn.Close()
	}
}

// Idle returns the number of idle connections to an address.
func (c *Client) Idle(address string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.idle[address])
}

func (c *Client) conn(ctx context.Context, address string) (*conn, error) {
	if ctx.Err() != nil {
		return nil, &DialError{Address: address, Err: context.Cause(ctx)}
	}
	if cn := c.takeReusable(func() *conn { return c.take(address) }); cn != nil {
		return cn, nil
	}
	return c.dial(ctx, address)
}

// takeReusable returns the first of the idle connections that take returns which can be reused, and
// closes those before. It returns nil if there is none.
func (c *Client) takeReusable(take func() *conn) *conn {
	for {
		cn := take()
		if cn == nil || c.opts.Now().Before(cn.reusableUntil) && cn.quiet() {
			return cn
		}
		cn.Close()
	}
}

func (c *Client) dial(ctx context.Context, address string) (*conn, error) {
	raw, err := c.dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, &DialError{Address: address, Err: err}
	}
	cn := newConn(raw, address)
	cn.establishedAt = c.opts.Now()
	return cn, nil
}

func (c *Client) take(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	if len(list) == 0 {
		return nil
	}
	cn := list[len(list)-1]
	c.idle[address] = list[:len(list)-1]
	return cn
}

// put stores a connection for reuse within the time keep, or closes it.
func (c *Client) put(cn *conn, keep time.Duration) {
	cn.reusableUntil = c.opts.Now().Add(keep)
	c.mu.Lock()
	if keep > 0 && len(c.idle[cn.address]) < c.opts.MaxIdle {
		c.idle[cn.address] = append(c.idle[cn.address], cn)
		cn = nil
	}
	c.mu.Unlock()
	if cn != nil {
		cn.Close()
	}
}

// requestBuffers pools the buffers in which requests are encoded.
var requestBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}
