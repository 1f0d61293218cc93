package transport_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/internal/harness"
	"github.com/laureltally/laureltally/keys"
	"github.com/laureltally/laureltally/transport"
	"github.com/laureltally/laureltally/wire"
)

// testTimeout limits how long a test waits.
const testTimeout = 20 * time.Second

// shortKeepAlive is a keep-alive interval short enough for tests.
const shortKeepAlive = 20 * time.Millisecond

func authority(t *testing.T, dir string) *keys.Authority {
	t.Helper()
	ca, err := keys.NewAuthority(keys.AuthorityOptions{Name: "test"})
	if err != nil {
		t.Fatal(err)
	}
	if err := ca.Pair().Write(dir, "ca"); err != nil {
		t.Fatal(err)
	}
	return ca
}

func credentials(t *testing.T, ca *keys.Authority, dir string, vm ident.VM) *keys.Reloader {
	t.Helper()
	pair, err := ca.Issue(keys.IssueOptions{VM: vm})
	if err != nil {
		t.Fatal(err)
	}
	if err := pair.Write(dir, string(vm)); err != nil {
		t.Fatal(err)
	}
	r, err := keys.NewReloader(keys.ReloaderOptions{
		CA:          keys.CertificateFile(dir, "ca"),
		Certificate: keys.CertificateFile(dir, string(vm)),
		Key:         keys.KeyFile(dir, string(vm)),
	})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// echo replies to an AttemptStatusRequest with an AttemptStatus of the same attempt.
func echo(_ context.Context, _ wire.Hello, first wire.Message, s *transport.Stream) {
	if m, ok := first.(*wire.AttemptStatusRequest); ok {
		_ = s.Send(&wire.AttemptStatus{Attempt: m.Attempt, State: wire.AttemptRunning})
	}
}

func options(vm ident.VM, c transport.Credentials) transport.Options {
	return transport.Options{
		Hello:            wire.Hello{VM: vm, Incarnation: 1},
		Credentials:      c,
		KeepAlive:        shortKeepAlive,
		DialIdleTimeout:  200 * time.Millisecond,
		HandshakeTimeout: 2 * time.Second,
	}
}

func listen(t *testing.T, o transport.Options) *transport.Listener {
	t.Helper()
	o.Handler = transport.HandlerFunc(echo)
	l, err := transport.Listen("127.0.0.1:0", o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

func queryStatus(ctx context.Context, p *transport.Pool, vm ident.VM, address string) error {
	conn, err := p.Get(ctx, vm, address)
	if err != nil {
		return err
	}
	m, err := conn.Call(ctx, &wire.AttemptStatusRequest{Attempt: "a"})
	if err != nil {
		return err
	}
	if v, ok := m.(*wire.AttemptStatus); !ok || v.Attempt != "a" {
		return &wire.KindError{Kind: m.Kind()}
	}
	return nil
}

// behindMiddlebox returns a listener of "agent" behind a middlebox, and a pool of
// "router" that dials it through the middlebox and has the given keep-alive interval.
func behindMiddlebox(t *testing.T, keepAlive time.Duration) (*transport.Listener, *harness.Middlebox, *transport.Pool) {
	t.Helper()
	dir := t.TempDir()
	ca := authority(t, dir)
	l := listen(t, options("agent", credentials(t, ca, dir, "agent")))
	box, err := harness.NewMiddlebox(l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(box.Close)
	o := options("router", credentials(t, ca, dir, "router"))
	o.KeepAlive = keepAlive
	p := transport.NewPool(o)
	t.Cleanup(p.Close)
	return l, box, p
}

// TestSilentConnectionIsReplaced has a middlebox drop all packets of the existing
// connection, while new flows work.
func TestSilentConnectionIsReplaced(t *testing.T) {
	_, box, pool := behindMiddlebox(t, shortKeepAlive)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	if err := queryStatus(ctx, pool, "agent", box.Address()); err != nil {
		t.Fatal(err)
	}
	first, err := pool.Get(ctx, "agent", box.Address())
	if err != nil {
		t.Fatal(err)
	}
	box.DropFlows()
	select {
	case <-first.Context().Done():
	case <-ctx.Done():
		t.Fatal("silent connection not closed")
	}
	if err := queryStatus(ctx, pool, "agent", box.Address()); err != nil {
		t.Fatalf("call over new connection: %v", err)
	}
}

func TestPeersAreAuthenticated(t *testing.T) {
	dir, other := t.TempDir(), t.TempDir()
	ca, otherCA := authority(t, dir), authority(t, other)
	l := listen(t, options("agent", credentials(t, ca, dir, "agent")))
	for _, tc := range []struct {
		name   string
		hello  ident.VM
		dialed ident.VM
		c      transport.Credentials
	}{
		{"another VM is dialed", "router", "agent-2", credentials(t, ca, dir, "router")},
		{"the hello is not the certificate's", "router-2", "agent", credentials(t, ca, dir, "router")},
		{"another authority", "router", "agent", credentials(t, otherCA, other, "router")},
	} {
		t.Run(tc.name, func(t *testing.T) {
			pool := transport.NewPool(options(tc.hello, tc.c))
			defer pool.Close()
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			err := queryStatus(ctx, pool, tc.dialed, l.Addr().String())
			var dial *transport.DialError
			if !errors.As(err, &dial) {
				t.Fatalf("got %v, want a DialError", err)
			}
		})
	}
}

func TestClosedPool(t *testing.T) {
	dir := t.TempDir()
	pool := transport.NewPool(options("router", credentials(t, authority(t, dir), dir, "router")))
	pool.Close()
	_, err := pool.Get(t.Context(), "agent", "127.0.0.1:1")
	var closed *transport.ClosedError
	if !errors.As(err, &closed) {
		t.Fatalf("got %v, want a ClosedError", err)
	}
}

// An unresponsive peer acknowledges nothing. Open must return when its context ends
// rather than block until the connection times out.
func TestOpenReturnsWhenContextEndsAndPeerIsUnresponsive(t *testing.T) {
	_, box, p := behindMiddlebox(t, time.Hour)
	conn, err := p.Get(t.Context(), "agent", box.Address())
	if err != nil {
		t.Fatal(err)
	}
	box.DropFlows()
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	ended := make(chan error, 1)
	go func() {
		// More than may be in flight unacknowledged.
		_, err := conn.Open(ctx, &wire.Chunk{Data: make([]byte, 400<<10)})
		ended <- err
	}()
	select {
	case err := <-ended:
		if err == nil {
			t.Error("opened")
		}
	case <-time.After(5 * time.Second):
		t.Fatal("Open still blocks after its context ended")
	}
}

// A process that was killed and restarted is the same peer. Its new connection closes
// the old one, so that what the earlier incarnation held is released at once.
func TestNewConnectionOfPeerClosesOldOne(t *testing.T) {
	dir := t.TempDir()
	ca := authority(t, dir)
	l := listen(t, options("agent", credentials(t, ca, dir, "agent")))
	dialer := credentials(t, ca, dir, "router")
	var conns [2]*transport.Conn
	for i := range conns {
		p := transport.NewPool(options("router", dialer))
		defer p.Close()
		c, err := p.Get(t.Context(), "agent", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		conns[i] = c
	}
	select {
	case <-conns[0].Context().Done():
	case <-time.After(testTimeout):
		t.Fatal("old connection still open")
	}
	if err := conns[1].Context().Err(); err != nil {
		t.Errorf("new connection ended: %v", err)
	}
}

// The listening end, too, closes the connection of a peer that disappears without
// closing it, so that nothing stays reserved for that peer.
func TestListenerDropsVanishedPeer(t *testing.T) {
	t.Parallel()
	const within = 8 * time.Second
	l, box, p := behindMiddlebox(t, shortKeepAlive)
	if _, err := p.Get(t.Context(), "agent", box.Address()); err != nil {
		t.Fatal(err)
	}
	for len(l.Conns()) == 0 {
		time.Sleep(time.Millisecond)
	}
	box.DropFlows()
	for end := time.Now().Add(within); len(l.Conns()) > 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d connections after %v", len(l.Conns()), within)
		}
	}
}

// Each router keeps a connection to each sidecar, so the cost of an idle connection is
// incurred routers times sidecars. It is one probe and its acknowledgement per interval.
func TestIdleConnectionSendsOneProbePerInterval(t *testing.T) {
	t.Parallel()
	const (
		interval = 100 * time.Millisecond
		watched  = 2 * time.Second
		// slack allows for the end of the handshake and for packets in flight.
		slack = 4
	)
	_, box, p := behindMiddlebox(t, interval)
	if _, err := p.Get(t.Context(), "agent", box.Address()); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Second)
	before := box.Forwarded()
	time.Sleep(watched)
	if n, most := box.Forwarded()-before, 2*int(watched/interval)+slack; n > most {
		t.Errorf("%d datagrams in %v, want at most %d", n, watched, most)
	}
}

// A peer that keeps sending reports but receives nothing looks alive to the dialing
// end. It stops sending when acknowledgements are missing, and the connection ends.
func TestConnectionBlockedInOneDirectionEnds(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	ca := authority(t, dir)
	o := options("agent", credentials(t, ca, dir, "agent"))
	o.IdleTimeout = 500 * time.Millisecond
	o.Handler = transport.HandlerFunc(func(ctx context.Context, _ wire.Hello, _ wire.Message, s *transport.Stream) {
		for s.Send(&wire.Report{}) == nil && ctx.Err() == nil {
			time.Sleep(shortKeepAlive)
		}
	})
	l, err := transport.Listen("127.0.0.1:0", o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	box, err := harness.NewMiddlebox(l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(box.Close)
	p := transport.NewPool(options("router", credentials(t, ca, dir, "router")))
	t.Cleanup(p.Close)
	c, err := p.Get(t.Context(), "agent", box.Address())
	if err != nil {
		t.Fatal(err)
	}
	s, err := c.Open(t.Context(), &wire.Subscribe{})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Recv(); err != nil {
		t.Fatal(err)
	}
	box.DropFlowsToAgent()
	begun := time.Now()
	for {
		if _, err := s.Recv(); err != nil {
			break
		}
	}
	// The timeouts of both ends in sequence, and the time of the probes themselves on a
	// busy machine.
	if took, most := time.Since(begun), 2*time.Second; took > most {
		t.Errorf("ended after %v, want at most %v", took, most)
	}
}

// A process exits while it dials a peer that does not respond: closing must not wait for
// the handshake timeout, or the exit comes after the end of a graceful shutdown.
func TestCloseDoesNotWaitForDials(t *testing.T) {
	silent, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	dir := t.TempDir()
	pool := transport.NewPool(options("router", credentials(t, authority(t, dir), dir, "router")))
	dialed := make(chan error, 1)
	go func() {
		_, err := pool.Get(context.Background(), "agent", silent.LocalAddr().String())
		dialed <- err
	}()
	time.Sleep(100 * time.Millisecond)
	begun := time.Now()
	pool.Close()
	if took := time.Since(begun); took > transport.DefaultHandshakeTimeout/4 {
		t.Errorf("closed after %v", took)
	}
	if err := <-dialed; err == nil {
		t.Error("the dial succeeded")
	}
}
