package upstreamhttp

import (
	"bytes"
	"context"
	"net"
	"sync"
	"time"

	"github.com/laureltally/laureltally/internal/sockopt"
)

// Client keeps connections to upstream VMs. It may be used concurrently.
type Client struct {
	opts   Options
	dialer net.Dialer

	mu sync.Mutex
	// idle holds the unused connections of each address, the newest last.
	idle map[string][]*conn
}

// New returns a Client without connections.
func New(o Options) *Client {
	o = o.withDefaults()
	return &Client{
		opts: o,
		dialer: net.Dialer{
			Timeout:         o.DialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: o.UnackedTimeout, Interval: o.UnackedTimeout, Count: 2},
			Control:         sockopt.Unacked(o.UnackedTimeout),
		},
		idle: make(map[string][]*conn),
	}
}

// Send sends a request and returns the header of its answer. The connection is
// closed when ctx ends before Answer.Close. It fails with a *DialError, after
// which nothing was sent, or a *BrokenError.
func (c *Client) Send(ctx context.Context, address string, r *Request) (*Response, error) {
	cn, err := c.conn(ctx, address)
	if err != nil {
		return nil, err
	}
	x := &exchange{client: c, conn: cn, ctx: ctx, request: r}
	x.stop = context.AfterFunc(ctx, cn.abort)
	return x.run()
}

// CloseIdle closes the unused connections to an address.
func (c *Client) CloseIdle(address string) {
	c.mu.Lock()
	old := c.idle[address]
	delete(c.idle, address)
	c.mu.Unlock()
	for _, cn := range old {
		cn.Close()
	}
}

// Idle counts the unused connections to an address.
func (c *Client) Idle(address string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.idle[address])
}

func (c *Client) conn(ctx context.Context, address string) (*conn, error) {
	if ctx.Err() != nil {
		return nil, &DialError{Address: address, Err: context.Cause(ctx)}
	}
	for {
		cn := c.take(address)
		if cn == nil {
			break
		}
		if c.opts.Now().Before(cn.reusable) && cn.quiet() {
			return cn, nil
		}
		cn.Close()
	}
	raw, err := c.dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, &DialError{Address: address, Err: err}
	}
	return newConn(raw, address), nil
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

// put keeps a connection for later.
func (c *Client) put(cn *conn, keep time.Duration) {
	cn.reusable = c.opts.Now().Add(keep)
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

// heads holds the buffers in which requests are put together.
var heads = sync.Pool{New: func() any { return new(bytes.Buffer) }}
