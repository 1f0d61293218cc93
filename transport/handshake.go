package transport

import (
	"context"
	"errors"
	"fmt"

	"github.com/quic-go/quic-go"

	"github.com/laureltally/laureltally/wire"
)

// dialHandshake performs the dialer's side of the exchange of Hellos on the first
// stream and returns the peer's.
func dialHandshake(ctx context.Context, raw *quic.Conn, own wire.Hello) (wire.Hello, error) {
	rs, err := raw.OpenStreamSync(ctx)
	if err != nil {
		return wire.Hello{}, fmt.Errorf("open first stream: %w", err)
	}
	s := newStream(rs)
	defer s.Reset()
	if d, ok := ctx.Deadline(); ok {
		_ = s.SetDeadline(d)
	}
	if err := s.Send(&own); err != nil {
		return wire.Hello{}, fmt.Errorf("send hello: %w", err)
	}
	return readHello(raw, s)
}

// acceptHandshake performs the listener's side.
func acceptHandshake(ctx context.Context, raw *quic.Conn, own wire.Hello) (wire.Hello, error) {
	rs, err := raw.AcceptStream(ctx)
	if err != nil {
		return wire.Hello{}, fmt.Errorf("accept first stream: %w", err)
	}
	s := newStream(rs)
	if d, ok := ctx.Deadline(); ok {
		_ = s.SetDeadline(d)
	}
	peer, err := readHello(raw, s)
	if err != nil {
		s.Reset()
		return wire.Hello{}, err
	}
	if err := s.Send(&own); err != nil && !resetByPeer(err) {
		return wire.Hello{}, fmt.Errorf("send hello: %w", err)
	}
	// It fails only if the dialer has reset the stream or the connection has ended.
	_ = s.CloseSend()
	return peer, nil
}

// resetByPeer reports whether a stream could not be written since the peer has reset it. A dialer does that once it has the listener's Hello, and it closes the connection if it did
// not get it.
func resetByPeer(err error) bool {
	var reset *quic.StreamError
	return errors.As(err, &reset) && reset.Remote
}

func readHello(raw *quic.Conn, s *Stream) (wire.Hello, error) {
	m, err := s.Recv()
	if err != nil {
		return wire.Hello{}, fmt.Errorf("read hello: %w", err)
	}
	h, ok := m.(*wire.Hello)
	if !ok {
		return wire.Hello{}, &wire.KindError{Kind: m.Kind()}
	}
	if err := checkIdentity(raw, h.VM); err != nil {
		return wire.Hello{}, err
	}
	return *h, nil
}
