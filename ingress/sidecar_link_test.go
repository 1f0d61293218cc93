package ingress

import (
	"context"
	"testing"
	"time"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/keys"
	"github.com/laureltally/laureltally/transport"
	"github.com/laureltally/laureltally/wire"
)

// linkTo returns a link to a sidecar that serves reservations with h.
func linkTo(t *testing.T, h transport.HandlerFunc) *sidecarLink {
	t.Helper()
	options := func(vm ident.VM) transport.Options {
		c, err := keys.NewEphemeral(vm, nil)
		if err != nil {
			t.Fatal(err)
		}
		return transport.Options{Hello: wire.Hello{VM: vm}, Credentials: c}
	}
	o := options("sidecar")
	o.Handler = h
	listener, err := transport.Listen("127.0.0.1:0", o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	pool := transport.NewPool(options("router"))
	t.Cleanup(pool.Close)
	conn, err := pool.Get(t.Context(), "sidecar", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	l := &sidecarLink{}
	l.conn.Store(conn)
	return l
}

// A hung sidecar, or one that receives nothing because its link is cut in one
// direction, must not hold a request for its whole MaxWait.
func TestUnresponsiveSidecarIsNotWaitedFor(t *testing.T) {
	l := linkTo(t, func(ctx context.Context, _ wire.Hello, _ wire.Message, _ *transport.Stream) { <-ctx.Done() })
	begun := time.Now()
	rsv, err := l.reserve(t.Context(), &wire.Reserve{MaxWait: time.Minute})
	if err == nil {
		t.Fatalf("got %+v", rsv)
	}
	if took := time.Since(begun); took > 5*time.Second {
		t.Errorf("waited for %v", took)
	}
}

// A sidecar that confirms that the request is queued is waited for.
func TestQueuedRequestIsWaitedFor(t *testing.T) {
	l := linkTo(t, func(_ context.Context, _ wire.Hello, _ wire.Message, s *transport.Stream) {
		_ = s.Send(&wire.Queued{})
		time.Sleep(2 * replyTimeout)
		_ = s.Send(&wire.Reserved{Waited: 2 * replyTimeout})
		_, _ = s.Recv()
	})
	rsv, err := l.reserve(t.Context(), &wire.Reserve{MaxWait: time.Minute})
	if err != nil || rsv.waited != 2*replyTimeout {
		t.Fatalf("got %+v, %v", rsv, err)
	}
	rsv.release(result{})
}
