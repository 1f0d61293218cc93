package boundedhttp

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/laureltally/laureltally/internal/sockopt"
)

// descriptorShare is the divisor for the part of the process's descriptors that the
// connections of one listener may take.
const descriptorShare = 2

// Listener accepts connections within limits. Its Server serves them.
type Listener struct {
	net.Listener
	limits Limits

	mu        sync.Mutex
	admission *admission
	// changed is signalled when a place was given back, when a client is waited for, and when
	// the listener is closed.
	changed sync.Cond
	closed  bool
	// headerHeld is what large headers cost.
	headerHeld int
}

// Listen listens at a TCP address.
func Listen(network, address string, l Limits) (*Listener, error) {
	ln, err := net.Listen(network, address)
	if err != nil {
		return nil, err
	}
	bounded, err := New(ln, l)
	if err != nil {
		_ = ln.Close()
		return nil, err
	}
	return bounded, nil
}

// New applies limits to a listener, which Listener.Close closes. The kernel's buffers are
// limited only for TCP.
func New(ln net.Listener, l Limits) (*Listener, error) {
	if tcp, ok := ln.(*net.TCPListener); ok {
		// Connections inherit the buffers, and their windows are scaled to them.
		raw, err := tcp.SyscallConn()
		if err != nil {
			return nil, fmt.Errorf("limit buffers: %w", err)
		}
		set := sockopt.All(sockopt.ReceiveBuffer(l.ReceiveBuffer), sockopt.SendBuffer(l.SendBuffer))
		if err := set("", "", raw); err != nil {
			return nil, fmt.Errorf("limit buffers: %w", err)
		}
	}
	b := &Listener{Listener: ln, limits: l, admission: newAdmission(l.Connections)}
	b.changed.L = &b.mu
	return b, nil
}

// Server returns a server for the listener's connections.
func (l *Listener) Server(h http.Handler) *http.Server {
	if timeout := l.limits.BodyTimeout; timeout > 0 {
		h = withOwedBodies(h, timeout)
	} else {
		h = withoutBodies(h)
	}
	return &http.Server{
		ConnContext:       withConn,
		Handler:           h,
		ReadHeaderTimeout: l.limits.HeaderTimeout,
		ReadTimeout:       l.limits.RequestTimeout,
		WriteTimeout:      l.limits.WriteTimeout,
		IdleTimeout:       l.limits.IdleTimeout,
		MaxHeaderBytes:    max(l.limits.HeaderBytes, l.limits.LargeHeaderBytes),
		ConnState:         connState,
	}
}

func connState(c net.Conn, state http.ConnState) {
	bounded, ok := c.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		bounded.serve()
	case http.StateIdle:
		bounded.idle()
	}
}

// Accept implements net.Listener. It returns a connection when there is a place for it.
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := newConn(accepted, l)
	if !l.place(c) {
		_ = accepted.Close()
		return nil, net.ErrClosed
	}
	return c, nil
}

// place takes a place for c and reports false if the listener was closed before. While all
// places are taken, it closes the connection that has waited longest, until the server has
// ended one.
func (l *Listener) place(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.admission.limit = l.places()
	for l.admission.full() && !l.closed {
		if l.admission.closing == 0 {
			if p := l.admission.victim(time.Now()); p != nil {
				l.admission.evict(p)
				p.reset()
			}
		}
		l.awaitChange()
	}
	if l.closed {
		return false
	}
	l.admission.open(&c.peer)
	return true
}

// places returns the number of places: the configured one, but not more than a part of the
// descriptors that the process may have at this time.
func (l *Listener) places() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return l.limits.Connections
	}
	return int(min(uint64(l.limits.Connections), max(1, limit.Cur/descriptorShare)))
}

// reserveHeader reports whether large headers may cost n more bytes, and holds them.
func (l *Listener) reserveHeader(n int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.headerHeld+n > l.limits.LargeHeaderBudget {
		return false
	}
	l.headerHeld += n
	return true
}

func (l *Listener) releaseHeader(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.headerHeld -= n
}

// awaitChange waits until a place was given back, but not longer than until another
// connection may be closed. The caller holds mu.
func (l *Listener) awaitChange() {
	timer := time.AfterFunc(waitPatience, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.changed.Broadcast()
	})
	defer timer.Stop()
	l.changed.Wait()
}

// remove gives the place of a connection back.
func (l *Listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.admission.remove(&c.peer)
	l.changed.Broadcast()
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.mu.Lock()
	l.closed = true
	l.changed.Broadcast()
	l.mu.Unlock()
	return l.Listener.Close()
}
