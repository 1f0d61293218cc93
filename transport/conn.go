package transport

import (
	"context"
	"fmt"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/wire"
)

const (
	codeClosed   quic.ApplicationErrorCode = 0
	codeIdentity quic.ApplicationErrorCode = 2
)

// Conn is one connection to an authenticated peer.
type Conn struct {
	raw  *quic.Conn
	peer wire.Hello
	// accepted numbers the connections of a Listener in the order in which they were
	// made.
	accepted uint64
}

// Peer returns the peer's Hello.
func (c *Conn) Peer() wire.Hello { return c.peer }

// Context ends when the connection is lost.
func (c *Conn) Context() context.Context { return c.raw.Context() }

// RoundTrip returns the smoothed round-trip time of the connection, or zero before the
// first measurement.
func (c *Conn) RoundTrip() time.Duration { return c.raw.ConnectionStats().SmoothedRTT }

// Close closes the connection and aborts its streams.
func (c *Conn) Close() { _ = c.raw.CloseWithError(codeClosed, "closed") }

// Open opens a stream and sends its first message. It returns when ctx ends, also
// while the peer acknowledges nothing.
func (c *Conn) Open(ctx context.Context, first wire.Message) (*Stream, error) {
	raw, err := c.raw.OpenStreamSync(ctx)
	if err != nil {
		return nil, fmt.Errorf("open stream: %w", err)
	}
	s := newStream(raw)
	// A write blocks while the peer acknowledges nothing.
	stop := context.AfterFunc(ctx, s.Reset)
	err = s.Send(first)
	if !stop() && err == nil {
		err = context.Cause(ctx)
	}
	if err != nil {
		s.Reset()
		return nil, fmt.Errorf("send first message: %w", err)
	}
	return s, nil
}

// Call opens a stream, sends one message and returns the first reply.
func (c *Conn) Call(ctx context.Context, m wire.Message) (wire.Message, error) {
	s, err := c.Open(ctx, m)
	if err != nil {
		return nil, err
	}
	defer s.Reset()
	if d, ok := ctx.Deadline(); ok {
		_ = s.SetDeadline(d)
	}
	stop := context.AfterFunc(ctx, s.Reset)
	defer stop()
	return s.Recv()
}

// checkIdentity returns an *IdentityError unless the claimed id is the common name of
// the peer's certificate.
func checkIdentity(raw *quic.Conn, claimed ident.VM) error {
	certs := raw.ConnectionState().TLS.PeerCertificates
	if len(certs) == 0 {
		return &IdentityError{Claimed: claimed}
	}
	proved := ident.VM(certs[0].Subject.CommonName)
	if proved != claimed {
		return &IdentityError{Claimed: claimed, Proved: proved}
	}
	return nil
}

// serve passes the streams that the peer opens to h until the connection ends.
func (c *Conn) serve(h Handler) {
	ctx := c.raw.Context()
	for {
		raw, err := c.raw.AcceptStream(ctx)
		if err != nil {
			return
		}
		go c.serveStream(ctx, h, newStream(raw))
	}
}

func (c *Conn) serveStream(ctx context.Context, h Handler, s *Stream) {
	first, err := s.Recv()
	if err != nil {
		s.Reset()
		return
	}
	if h == nil {
		s.Reset()
		return
	}
	h.HandleStream(ctx, c.peer, first, s)
	_ = s.CloseSend()
	s.raw.CancelRead(codeStreamReset)
}
