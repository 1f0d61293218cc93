package ingress

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cenkalti/backoff/v5"

	"github.com/laureltally/laureltally/fleet"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/internal/wait"
	"github.com/laureltally/laureltally/transport"
	"github.com/laureltally/laureltally/wire"
)

const (
	// linkDelay and maxLinkDelay bound the pause before a sidecar that could not be
	// reached is tried again.
	linkDelay    = 100 * time.Millisecond
	maxLinkDelay = time.Second
	// reserveSlack covers the link both ways and the sidecar's own work.
	reserveSlack = 200 * time.Millisecond
	// replyTimeout is how long a sidecar may take for its first word: five times the
	// longest round trip of 90 ms, for a packet that is lost and sent again.
	replyTimeout = 450 * time.Millisecond
)

// sidecarLink keeps the connection to one VM's sidecar.
type sidecarLink struct {
	s      *Server
	vm     *fleet.VM
	cancel context.CancelFunc
	conn   atomic.Pointer[transport.Conn]
}

func (s *Server) startLink(ctx context.Context, vm *fleet.VM) *sidecarLink {
	ctx, cancel := context.WithCancel(ctx)
	l := &sidecarLink{s: s, vm: vm, cancel: cancel}
	go l.run(ctx)
	return l
}

func (l *sidecarLink) end() { l.cancel() }

// run takes the sidecar's reports until ctx ends.
func (l *sidecarLink) run(ctx context.Context) {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = linkDelay, maxLinkDelay
	for ctx.Err() == nil {
		came, err := l.follow(ctx)
		l.conn.Store(nil)
		if came {
			b.Reset()
			// A link that is ended belongs to a VM that is gone; another one may have its
			// address by now.
			if ctx.Err() == nil {
				l.s.belief.sidecarLost(l.s.o.Now(), l.vm.Address)
				l.s.o.Logger.WithFields(log.Fields{"dependency": "sidecar", "vm": l.vm.ID}).WithError(err).Warn("dependency lost")
			}
		}
		_ = wait.Sleep(ctx, b.NextBackOff())
	}
}

// follow returns whether any report came before the connection failed.
func (l *sidecarLink) follow(ctx context.Context) (came bool, err error) {
	// A sidecar goes by its engine's address, which is all that routers know.
	conn, err := l.s.pool.Get(ctx, ident.VM(l.vm.Address), l.s.belief.agentAddress(l.vm))
	if err != nil {
		return false, err
	}
	stream, err := conn.Open(ctx, &wire.Subscribe{})
	if err != nil {
		return false, err
	}
	defer stream.Reset()
	defer context.AfterFunc(ctx, stream.Reset)()
	var models reportModels
	for {
		m, err := stream.Recv()
		if err != nil {
			return came, err
		}
		r, ok := m.(*wire.Report)
		if !ok {
			return came, &wire.KindError{Kind: m.Kind()}
		}
		models.complete(r)
		l.s.belief.report(l.s.o.Now(), l.vm.Address, r)
		if !came {
			came = true
			l.conn.Store(conn)
			l.s.o.Logger.WithFields(log.Fields{"dependency": "sidecar", "vm": l.vm.ID, "address": l.vm.Address}).Info("dependency regained")
		}
	}
}

// reserve asks for a place. It fails with a *RefusedError if the sidecar says
// no, and with another error if it can't be asked.
func (l *sidecarLink) reserve(ctx context.Context, r *wire.Reserve) (*place, error) {
	conn := l.conn.Load()
	if conn == nil {
		return nil, &transport.ClosedError{}
	}
	ctx, cancel := context.WithTimeout(ctx, r.MaxWait+reserveSlack)
	defer cancel()
	stream, err := conn.Open(ctx, r)
	if err != nil {
		return nil, err
	}
	m, err := l.decision(ctx, stream)
	if err != nil {
		stream.Reset()
		return nil, fmt.Errorf("reserve: %w", err)
	}
	switch m := m.(type) {
	case *wire.Reserved:
		return &place{stream: stream, waited: m.Waited, vm: m.VM}, nil
	case *wire.Refusal:
		stream.Reset()
		return nil, &RefusedError{RetryAfter: m.RetryAfter, Reason: m.Detail}
	}
	stream.Reset()
	return nil, &wire.KindError{Kind: m.Kind()}
}

// decision reads what a sidecar decides on a request. One that gives no sign of
// having got it is not waited for; it may stand still, or be cut off one way.
func (l *sidecarLink) decision(ctx context.Context, stream *transport.Stream) (wire.Message, error) {
	defer context.AfterFunc(ctx, stream.Reset)()
	_ = stream.SetDeadline(time.Now().Add(replyTimeout))
	m, err := stream.Recv()
	if _, queued := m.(*wire.Queued); err == nil && queued {
		_ = stream.SetDeadline(time.Time{})
		m, err = stream.Recv()
	}
	if err == nil {
		err = context.Cause(ctx)
	}
	_ = stream.SetDeadline(time.Time{})
	return m, err
}
