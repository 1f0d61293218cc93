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

// storeGate asks for places at the weight store. All agents that know the same
// routers ask the same one of them, over the connection that it has made. It
// implements replica.Gate: an error costs order and speed, never a load.
//
// Adapters load in less time than an answer takes and are not asked for.
type storeGate struct {
	a *Agent

	// silent is the connection on which the gate last said nothing. It is not
	// asked again; a router that lives makes a new one.
	silent atomic.Pointer[transport.Conn]
}

// Acquire implements replica.Gate.
func (g *storeGate) Acquire(ctx context.Context, m ident.Model, ad ident.Adapter, p ident.Priority) (func(), error) {
	if ad != "" {
		return func() {}, nil
	}
	conn, ok := g.router()
	if !ok {
		return nil, &noRouterError{}
	}
	ctx, cancel := context.WithTimeout(ctx, loadlimit.DefaultMaxWait)
	defer cancel()
	s, err := conn.Open(ctx, &wire.LoadPermitRequest{
		VM:          g.a.o.Settings.VM,
		Environment: g.a.o.Settings.Environment,
		Model:       m,
		Priority:    p,
	})
	if err != nil {
		return nil, fmt.Errorf("ask for a place: %w", err)
	}
	release, err := await(ctx, s)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		g.silent.Store(conn)
	}
	return release, err
}

// await waits for the ticket. The place is held until the stream is reset. A
// gate that says nothing for a while is given up: while it keeps an asker
// waiting it sends pings.
func await(ctx context.Context, s *transport.Stream) (func(), error) {
	stop := context.AfterFunc(ctx, s.Reset)
	err := ticket(s)
	if !stop() || err != nil {
		s.Reset()
		return nil, fmt.Errorf("wait for a place: %w", errOrCause(ctx, err))
	}
	return s.Reset, nil
}

// ticket reads until the ticket comes.
func ticket(s *transport.Stream) error {
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

// router is the connection to the router that hands out the environment's
// places.
func (g *storeGate) router() (*transport.Conn, bool) {
	conns := make(map[ident.VM]*transport.Conn)
	var vms []ident.VM
	for _, c := range g.a.listener.Conns() {
		peer := c.Peer()
		if peer.Role != metastore.RoleRouter || c == g.silent.Load() {
			continue
		}
		conns[peer.VM] = c
		vms = append(vms, peer.VM)
	}
	home, ok := membership.Owner("weights/"+string(g.a.o.Settings.Environment), vms)
	return conns[home], ok
}
