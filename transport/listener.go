package transport

import (
	"context"
	"crypto/tls"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"

	"github.com/quic-go/quic-go"

	"github.com/laureltally/laureltally/ident"
)

// Listener accepts connections from peers and serves their streams.
type Listener struct {
	o  Options
	ln *quic.Listener
	wg sync.WaitGroup

	mu sync.Mutex
	// conns holds the newest connection of each peer.
	conns  map[ident.VM]*Conn
	closed bool
}

// Listen listens on the UDP address.
func Listen(address string, o Options) (*Listener, error) {
	o = o.withDefaults()
	tc, err := o.Credentials.ServerConfig()
	if err != nil {
		return nil, fmt.Errorf("server credentials: %w", err)
	}
	base := withProtocol(tc)
	base.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		renewed, err := o.Credentials.ServerConfig()
		if err != nil {
			return nil, fmt.Errorf("server credentials: %w", err)
		}
		return withProtocol(renewed), nil
	}
	ln, err := quic.ListenAddr(address, base, listenerConfig(o))
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	l := &Listener{o: o, ln: ln, conns: make(map[ident.VM]*Conn)}
	l.wg.Go(l.acceptLoop)
	return l, nil
}

// Addr returns the local address.
func (l *Listener) Addr() net.Addr { return l.ln.Addr() }

// Conns returns the current connections, one for each peer, in no particular order.
func (l *Listener) Conns() []*Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Values(l.conns))
}

// Close stops listening, closes every connection and waits for the accepting
// goroutines.
func (l *Listener) Close() error {
	l.mu.Lock()
	l.closed = true
	for _, c := range l.conns {
		c.Close()
	}
	l.mu.Unlock()
	err := l.ln.Close()
	l.wg.Wait()
	return err
}

func (l *Listener) acceptLoop() {
	for n := uint64(1); ; n++ {
		raw, err := l.ln.Accept(context.Background())
		if err != nil {
			return
		}
		l.wg.Go(func() { l.serveConn(raw, n) })
	}
}

// serveConn serves the nth connection.
func (l *Listener) serveConn(raw *quic.Conn, n uint64) {
	ctx, cancel := context.WithTimeout(raw.Context(), l.o.HandshakeTimeout)
	peer, err := acceptHandshake(ctx, raw, l.o.Hello)
	cancel()
	if err != nil {
		l.o.Logger.WithError(err).Warn("handshake with peer failed")
		_ = raw.CloseWithError(codeIdentity, "hello refused")
		return
	}
	c := &Conn{raw: raw, peer: peer, accepted: n}
	if !l.register(c) {
		c.Close()
		return
	}
	defer l.remove(c)
	c.serve(l.o.Handler)
}

// register adds a connection to conns. A Pool keeps one connection to each peer, so an older
// connection of the same peer belongs to an earlier incarnation or has timed out at the
// peer, and is closed. It returns false if the listener is closed or the connection is the
// older one: its handshake may end after that of the newer one.
func (l *Listener) register(c *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	if old := l.conns[c.peer.VM]; old != nil {
		if old.accepted > c.accepted {
			return false
		}
		l.o.Logger.WithField("peer", c.peer.VM).Info("replaced older connection of peer")
		old.Close()
	}
	l.conns[c.peer.VM] = c
	return true
}

func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns[c.peer.VM] == c {
		delete(l.conns, c.peer.VM)
	}
}
