package agent

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync/atomic"
	"time"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/loadlimit"
	"github.com/laureltally/laureltally/membership"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/transport"
	"github.com/laureltally/laureltally/wire"
)

// storeLimiter requests load permits for the weight store. All agents that are
// connected to the same routers send their requests to the same one of them, on
// the connection that it opened. storeLimiter implements replica.LoadLimiter:
// on an error, the load goes ahead without a permit, out of order and possibly
// slower.
//
// Adapters need no permit, since they load faster than a permit request takes.
type storeLimiter struct {
	a *Agent

	// unresponsive is the connection on which a permit request timed out last. It
	// is not used again; a router that is alive opens a new one.
	unresponsive atomic.Pointer[transport.Conn]
}

// Acquire implements replica.LoadLimiter.
func (l *storeLimiter) Acquire(ctx context.Context, m ident.Model, ad ident.Adapter, p ident.Priority) (func(), error) {
	if ad != "" {
		return func() {}, nil
	}
	conn, ok := l.ownerRouter()
	if !ok {
		return nil, &noRouterError{}
	}
	ctx, cancel := context.WithTimeout(ctx, loadlimit.DefaultMaxWait)
	defer cancel()
	s, err := conn.Open(ctx, &wire.LoadPermitRequest{
		VM:          l.a.o.Settings.VM,
		Environment: l.a.o.Settings.Environment,
		Model:       m,
		Priority:    p,
	})
	if err != nil {
		return nil, fmt.Errorf("request load permit: %w", err)
	}
	release, err := awaitPermit(ctx, s)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		l.unresponsive.Store(conn)
	}
	return release, err
}

// awaitPermit waits for the load permit. The permit is held until the stream is
// reset. The request fails if no message arrives within
// loadlimit.DefaultResponseTimeout; the limiter sends pings while requesters
// wait.
func awaitPermit(ctx context.Context, s *transport.Stream) (func(), error) {
	stop := context.AfterFunc(ctx, s.Reset)
	err := receivePermit(s)
	if !stop() || err != nil {
		s.Reset()
		return nil, fmt.Errorf("wait for load permit: %w", errOrCause(ctx, err))
	}
	return s.Reset, nil
}

// receivePermit reads messages until the load permit arrives.
func receivePermit(s *transport.Stream) error {
	for {
		_ = s.SetDeadline(time.Now().Add(loadlimit.DefaultResponseTimeout))
		m, err := s.Recv()
		if err != nil {
			return err
		}
		switch m.(type) {
		case *wire.Ping:
		case *wire.LoadPermit:
			return s.SetDeadline(time.Time{})
		default:
			return &wire.KindError{Kind: m.Kind()}
		}
	}
}

func errOrCause(ctx context.Context, err error) error {
	if err == nil {
		return context.Cause(ctx)
	}
	return err
}

// ownerRouter returns the connection to the router that grants the
// environment's load permits.
func (l *storeLimiter) ownerRouter() (*transport.Conn, bool) {
	conns := make(map[ident.VM]*transport.Conn)
	var vms []ident.VM
	for _, c := range l.a.listener.Conns() {
		peer := c.Peer()
		if peer.Role != metastore.RoleRouter || c == l.unresponsive.Load() {
			continue
		}
		conns[peer.VM] = c
		vms = append(vms, peer.VM)
	}
	owner, ok := membership.Owner("weights/"+string(l.a.o.Settings.Environment), vms)
	return conns[owner], ok
}
