package transport

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/quic-go/quic-go"

	"github.com/laureltally/laureltally/ident"
)

// Pool keeps one connection to each peer that was dialed with Get.
type Pool struct {
	o Options
	// dials ends when the pool is closed.
	dials       context.Context
	cancelDials context.CancelFunc

	mu      sync.Mutex
	closed  bool
	entries map[string]*poolEntry
}

// poolEntry is a connection or a dial in progress. done is closed when conn or err
// is set.
type poolEntry struct {
	done chan struct{}
	conn *Conn
	err  error
}

// NewPool returns an empty pool.
func NewPool(o Options) *Pool {
	p := &Pool{o: o.withDefaults(), entries: make(map[string]*poolEntry)}
	p.dials, p.cancelDials = context.WithCancel(context.Background())
	return p
}

// Get returns an open connection to the VM at address and dials if there is none.
// Concurrent calls share one dial. It fails with a *DialError, or a *ClosedError if
// the pool is closed.
func (p *Pool) Get(ctx context.Context, vm ident.VM, address string) (*Conn, error) {
	e, err := p.entry(vm, address)
	if err != nil {
		return nil, err
	}
	select {
	case <-e.done:
	case <-ctx.Done():
		return nil, &DialError{Address: address, Err: ctx.Err()}
	}
	if e.err != nil {
		return nil, e.err
	}
	return e.conn, nil
}

// Close closes all connections and gives up dials, which may take seconds if a peer does
// not respond.
func (p *Pool) Close() {
	p.cancelDials()
	p.mu.Lock()
	p.closed = true
	entries := p.entries
	p.entries = nil
	p.mu.Unlock()
	for _, e := range entries {
		<-e.done
		if e.conn != nil {
			e.conn.Close()
		}
	}
}

func (p *Pool) entry(vm ident.VM, address string) (*poolEntry, error) {
	key := string(vm) + "@" + address
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, &ClosedError{}
	}
	if e, ok := p.entries[key]; ok && !e.failed() {
		return e, nil
	}
	e := &poolEntry{done: make(chan struct{})}
	p.entries[key] = e
	go p.dial(e, key, vm, address)
	return e, nil
}

// failed reports whether the dial failed or the connection has ended.
func (e *poolEntry) failed() bool {
	select {
	case <-e.done:
	default:
		return false
	}
	return e.err != nil || e.conn.Context().Err() != nil
}

func (p *Pool) dial(e *poolEntry, key string, vm ident.VM, address string) {
	defer close(e.done)
	c, err := p.connect(vm, address)
	if err != nil {
		e.err = &DialError{Address: address, Err: err}
		return
	}
	e.conn = c
	go c.serve(p.o.Handler)
	go p.watch(e, key)
}

// watch removes the connection from the pool when it ends.
func (p *Pool) watch(e *poolEntry, key string) {
	<-e.conn.Context().Done()
	var idle *quic.IdleTimeoutError
	if cause := context.Cause(e.conn.Context()); errors.As(cause, &idle) {
		timeout := &DialIdleTimeoutError{Address: e.conn.raw.RemoteAddr().String(), Timeout: p.o.DialIdleTimeout, Err: cause}
		p.o.Logger.WithField("peer", e.conn.peer.VM).Warn(timeout.Error())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.entries[key] == e {
		delete(p.entries, key)
	}
}

func (p *Pool) connect(vm ident.VM, address string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(p.dials, p.o.HandshakeTimeout)
	defer cancel()
	tc, err := p.o.Credentials.ClientConfig()
	if err != nil {
		return nil, fmt.Errorf("client credentials: %w", err)
	}
	raw, err := dialOwnSocket(ctx, address, p.o, tc)
	if err != nil {
		return nil, err
	}
	peer, err := dialHandshake(ctx, raw, p.o.Hello)
	if err == nil && peer.VM != vm {
		err = &IdentityError{Claimed: vm, Proved: peer.VM}
	}
	if err != nil {
		_ = raw.CloseWithError(codeIdentity, "hello refused")
		return nil, err
	}
	return &Conn{raw: raw, peer: peer}, nil
}
