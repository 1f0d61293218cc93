package sidecar

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/internal/wait"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/residency"
	"github.com/laureltally/laureltally/transport"
	"github.com/laureltally/laureltally/wire"
)

const (
	// permitTimeout limits the wait for a permit, mainly of one that is requested ahead
	// of demand. After that the scheduler requests a permit again.
	permitTimeout = 20 * time.Second
	// permitPollInterval is the interval of checks whether a held permit is still needed.
	permitPollInterval = 100 * time.Millisecond
	// noRouterDelay is how long a load for requests is delayed, if there is no router
	// to grant a permit, before it starts without one.
	noRouterDelay = 2 * time.Second
)

// requestPermit requests a load permit from the coordinating router and holds it until
// the load has ended.
func (s *Sidecar) requestPermit(r *residency.PermitRequest) {
	conn := s.coordinator()
	if conn == nil {
		s.loadWithoutPermit(r)
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, permitTimeout)
	defer cancel()
	stream, err := conn.Open(ctx, &wire.LoadPermitRequest{
		VM: s.name(), Upstream: s.o.Settings.Service, Model: r.Model, Priority: r.Priority, Remaining: r.Remaining,
		ParallelLoads: int(s.parallelLoads.Load()),
	})
	if err != nil {
		s.loadWithoutPermit(r)
		return
	}
	defer func() { s.endPermit(stream, r.ID) }()
	_ = stream.SetDeadline(time.Now().Add(permitTimeout))
	m, err := stream.Recv()
	permit, ok := m.(*wire.LoadPermit)
	if err != nil || !ok {
		decision := residency.PermitUndecided
		if _, denied := m.(*wire.Refusal); err == nil && denied {
			decision = residency.PermitDenied
		}
		s.reportPermit(r.ID, "", decision)
		return
	}
	s.parallelLoads.Store(int64(permit.ParallelLoads))
	model := r.Model
	if model == "" {
		model = permit.Model
	}
	s.o.Logger.WithFields(log.Fields{"model": model, "router": conn.Peer().VM, "ahead": r.Model == ""}).Info("load permit granted")
	s.reportPermit(r.ID, model, residency.PermitGranted)
	s.holdPermit(conn, r.ID)
}

// endPermit returns a permit to the router, with the time of the load if there was one.
func (s *Sidecar) endPermit(stream *transport.Stream, id uint64) {
	s.mu.Lock()
	took := s.scheduler.LoadTime(id)
	s.mu.Unlock()
	_ = stream.SetDeadline(time.Time{})
	if took == 0 || stream.Send(&wire.LoadOutcome{Took: took}) != nil {
		stream.Reset()
		return
	}
	_ = stream.CloseSend()
	stream.CloseRecv()
}

// loadWithoutPermit starts a load without a permit after noRouterDelay, but only a load
// for waiting requests or expected retries: an unreachable router may slow loads down
// but must not fail requests.
func (s *Sidecar) loadWithoutPermit(r *residency.PermitRequest) {
	if wait.Sleep(s.ctx, noRouterDelay) != nil {
		return
	}
	decision := residency.PermitUndecided
	if r.Model != "" {
		decision = residency.PermitGranted
	}
	s.reportPermit(r.ID, r.Model, decision)
}

func (s *Sidecar) reportPermit(id uint64, model ident.Model, d residency.PermitDecision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.perform(s.scheduler.PermitDecided(s.o.Now(), id, model, d))
}

// holdPermit returns when the scheduler no longer needs its permit or the connection to
// the router is lost.
func (s *Sidecar) holdPermit(conn *transport.Conn, id uint64) {
	tick := time.NewTicker(permitPollInterval)
	defer tick.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-conn.Context().Done():
			return
		case <-tick.C:
		}
		s.mu.Lock()
		open := s.scheduler.PermitRequestOpen(id)
		s.mu.Unlock()
		if !open {
			return
		}
	}
}

// coordinator returns the connection to the router that grants permits, or nil. It is
// the first connected router by name, so that all sidecars choose the same one while
// the network is not partitioned.
func (s *Sidecar) coordinator() *transport.Conn {
	var best *transport.Conn
	for _, c := range s.listener.Conns() {
		if c.Peer().Role != metastore.RoleRouter || c.Context().Err() != nil {
			continue
		}
		if best == nil || c.Peer().VM < best.Peer().VM {
			best = c
		}
	}
	return best
}
