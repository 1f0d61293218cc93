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
	"github.com/laureltally/laureltally/quarantine"
	"github.com/laureltally/laureltally/requestlimit"
	"github.com/laureltally/laureltally/transport"
	"github.com/laureltally/laureltally/wire"
)

const (
	// linkDelay and maxLinkDelay bound the pause before another attempt to connect to
	// a sidecar.
	linkDelay    = 100 * time.Millisecond
	maxLinkDelay = time.Second
	// reserveSlack covers the round trip and the processing at the sidecar.
	reserveSlack = 200 * time.Millisecond
	// replyTimeout is how long a sidecar may take for its first message: five times
	// the longest round trip of 90 ms, to allow for the retransmission of a lost
	// packet.
	replyTimeout = 450 * time.Millisecond
	// maxGrantDelay is how much longer than it waited at the sidecar a reservation may take
	// before it counts as late: this process was paused, or the network held it up.
	maxGrantDelay = 500 * time.Millisecond
)

// sidecarLink maintains the connection to the sidecar beside one engine, across restarts
// of the engine.
type sidecarLink struct {
	s *Server
	// vm is the VM that was registered at the engine's address when the link started.
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

func (l *sidecarLink) stop() { l.cancel() }

// run receives the sidecar's reports until ctx ends.
func (l *sidecarLink) run(ctx context.Context) {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = linkDelay, maxLinkDelay
	for ctx.Err() == nil {
		received, err := l.receiveReports(ctx)
		l.conn.Store(nil)
		if received {
			b.Reset()
			// A closed link belongs to a removed VM, whose address may already be in
			// use by another one.
			if ctx.Err() == nil {
				l.s.clusterState.sidecarLost(l.s.o.Now(), l.vm.Address)
				l.s.observeSidecarLost()
				l.s.o.Logger.WithFields(log.Fields{"dependency": "sidecar", "vm": l.vm.ID}).WithError(err).Warn("dependency lost")
			}
		}
		_ = wait.Sleep(ctx, b.NextBackOff())
	}
}

// pool returns the connections to the sidecars of the VM's region.
func (l *sidecarLink) pool() *transport.Pool {
	if l.vm.Region == l.s.o.Settings.Region {
		return l.s.nearPool
	}
	return l.s.farPool
}

// receiveReports receives reports until the connection fails and returns whether any
// report arrived.
func (l *sidecarLink) receiveReports(ctx context.Context) (received bool, err error) {
	// Sidecars are identified by the address of their engine, which is all that
	// routers know.
	conn, err := l.pool().Get(ctx, ident.VM(l.vm.Address), l.s.clusterState.sidecarAddress(l.vm))
	if err != nil {
		return false, err
	}
	stream, err := conn.Open(ctx, &wire.Subscribe{Findings: true, Limits: true})
	if err != nil {
		return false, err
	}
	defer stream.Reset()
	defer context.AfterFunc(ctx, stream.Reset)()
	var models reportModels
	for {
		m, err := stream.Recv()
		if err != nil {
			return received, err
		}
		now := l.s.o.Now()
		var r *wire.Report
		switch m := m.(type) {
		case *wire.CrashFindings:
			l.s.observeNews(now, quarantine.Decode(now, m))
			continue
		case *wire.ServerLimits:
			l.s.clusterState.takeRequestLimits(now, requestlimit.Decode(now, m))
			continue
		case *wire.Report:
			r = m
		default:
			return received, &wire.KindError{Kind: m.Kind()}
		}
		models.complete(r)
		l.s.clusterState.report(now, l.vm.Address, r, conn.RoundTrip())
		if !received {
			received = true
			l.conn.Store(conn)
			l.s.tellKnown(conn, now)
			wait.Notify(l.s.origins.homesChanged)
			l.s.o.Logger.WithFields(log.Fields{"dependency": "sidecar", "vm": l.vm.ID, "address": l.vm.Address}).Info("dependency regained")
		}
	}
}

// reserve requests a reservation. It fails with a *RefusedError if the sidecar
// refuses, and with another error if the sidecar can't be asked.
func (l *sidecarLink) reserve(ctx context.Context, r *wire.Reserve) (*reservation, error) {
	conn := l.conn.Load()
	if conn == nil {
		return nil, &transport.ClosedError{}
	}
	ctx, cancel := context.WithTimeout(ctx, r.MaxWait+reserveSlack)
	defer cancel()
	asked := time.Now()
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
		return &reservation{stream: stream, waited: m.Waited, late: time.Since(asked)-m.Waited > maxGrantDelay, vm: m.VM, started: m.Started, load: m.Load}, nil
	case *wire.Refusal:
		stream.Reset()
		return nil, &RefusedError{RetryAfter: m.RetryAfter, Reason: m.Detail, Gone: m.Code == wire.CodeDraining, Load: m.Load}
	}
	stream.Reset()
	return nil, &wire.KindError{Kind: m.Kind()}
}

// decision reads a sidecar's decision on a request. A sidecar that does not confirm
// receipt within replyTimeout is not waited for; it may be hung or cut off in one
// direction.
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
