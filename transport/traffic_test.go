package transport_test

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/laureltally/laureltally/transport"
	"github.com/laureltally/laureltally/wire"
)

// outerHeaderBytes is the size of the headers of UDP and IPv4.
const outerHeaderBytes = 28

// Prints what a request for tokens of an allotment and its answer take; docs/CAPACITY.md has
// the figures. It guards against a protocol that takes several times as much.
func TestTrafficOfALoan(t *testing.T) {
	ask := &wire.AllotmentRequest{
		Tenant: "tenant-0001", PerSecond: 216_121, Burst: 216_121, Revision: 1 << 40, Number: 17, Banks: 3,
		Amount: 1512, Least: 1512, Ahead: 3201.4, ListAge: 812 * time.Millisecond,
	}
	loan := &wire.AllotmentLoan{Amount: 4713.4}
	size := 0
	for _, m := range []wire.Message{ask, loan} {
		var b bytes.Buffer
		if err := wire.Write(&b, m); err != nil {
			t.Fatal(err)
		}
		t.Logf("message of kind %d: %d bytes", m.Kind(), b.Len())
		size += b.Len()
	}
	total, packets := traffic(t, transport.HandlerFunc(func(_ context.Context, _ wire.Hello, first wire.Message, s *transport.Stream) {
		if first.Kind() == wire.KindAllotmentRequest {
			_ = s.Send(loan)
		}
	}), func(ctx context.Context, conn *transport.Conn) error {
		_, err := conn.Call(ctx, ask)
		return err
	})
	t.Logf("a loan takes %d bytes of messages, %.0f bytes and %.1f packets in all", size, total, packets)
	if size > 200 || total > 800 {
		t.Errorf("a loan takes %d bytes of messages, %.0f in all", size, total)
	}
}

// Prints what it takes to tell a sidecar which version began a stream; docs/CAPACITY.md has the
// figures. It guards against a protocol that takes several times as much.
func TestTrafficOfAnOrigin(t *testing.T) {
	m := &wire.StreamBegun{Upstream: "luonnos-mallit", Request: "9c41d07be2a35f68", Software: "2026.11.3", Archive: true}
	var b bytes.Buffer
	if err := wire.Write(&b, m); err != nil {
		t.Fatal(err)
	}
	total, packets := traffic(t, transport.HandlerFunc(func(_ context.Context, _ wire.Hello, _ wire.Message, s *transport.Stream) {
		_ = s.CloseSend()
	}), func(ctx context.Context, conn *transport.Conn) error {
		stream, err := conn.Open(ctx, m)
		if err != nil {
			return err
		}
		defer stream.CloseRecv()
		return stream.CloseSend()
	})
	t.Logf("an origin takes %d bytes of messages, %.0f bytes and %.1f packets in all", b.Len(), total, packets)
	if b.Len() > 100 || total > 600 {
		t.Errorf("an origin takes %d bytes of messages, %.0f in all", b.Len(), total)
	}
}

// traffic returns the bytes and the packets that one call takes, with the headers of UDP and IP.
func traffic(t *testing.T, h transport.Handler, call func(context.Context, *transport.Conn) error) (total, packets float64) {
	t.Helper()
	dir := t.TempDir()
	ca := authority(t, dir)
	o := options("agent", credentials(t, ca, dir, "agent"))
	o.KeepAlive, o.DialIdleTimeout, o.Handler = 0, 0, h
	l, err := transport.Listen("127.0.0.1:0", o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	o = options("router", credentials(t, ca, dir, "router"))
	o.KeepAlive, o.DialIdleTimeout = 0, 0
	p := transport.NewPool(o)
	t.Cleanup(p.Close)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	conn, err := p.Get(ctx, "agent", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	const calls = 200
	beforeBytes, beforePackets := conn.Traffic()
	for range calls {
		if err := call(ctx, conn); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Millisecond)
	}
	afterBytes, afterPackets := conn.Traffic()
	packets = float64(afterPackets-beforePackets) / calls
	return float64(afterBytes-beforeBytes)/calls + packets*outerHeaderBytes, packets
}
