package ingress

import (
	"context"
	"net"
	"net/http"
	"time"
)

// connectedAtKey is the context key of the time at which a connection was accepted.
type connectedAtKey struct{}

// callerSocketKey is the context key of the socket of a caller's connection.
type callerSocketKey struct{}

// callerSocketOf returns the socket on which a request was received, or nil if its bytes are
// counted.
func callerSocketOf(ctx context.Context) *net.TCPConn {
	c, _ := ctx.Value(callerSocketKey{}).(*net.TCPConn)
	return c
}

// connContext is the ConnContext hook of an http.Server that records when a connection
// was accepted, and its socket or, if its bytes are counted, the connection itself.
func (s *Server) connContext(ctx context.Context, c net.Conn) context.Context {
	switch c := c.(type) {
	case *callerConn:
		ctx = context.WithValue(ctx, callerConnKey{}, c)
	case *net.TCPConn:
		ctx = context.WithValue(ctx, callerSocketKey{}, c)
	}
	return context.WithValue(ctx, connectedAtKey{}, s.o.Now())
}

// connectedAt returns when the connection of a request was accepted.
func connectedAt(r *http.Request) time.Time {
	at, _ := r.Context().Value(connectedAtKey{}).(time.Time)
	return at
}
