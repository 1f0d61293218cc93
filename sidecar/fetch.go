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
	// askTimeout bounds the wait for a place that is asked for ahead of requests;
	// it is asked for again after that.
	askTimeout = 20 * time.Second
	// placePoll is how often a held place is looked at for its end.
	placePoll = 100 * time.Millisecond
	// silentPatience is how long a load that requests wait for waits for a router
	// that hands out places, before it goes on without.
	silentPatience = 2 * time.Second
)

// fetch asks the router that hands out places at the weight store, and holds the
// place until the load has ended.
func (s *Sidecar) fetch(f *residency.PermitRequest) {
	conn := s.coordinator()
	if conn == nil {
		s.fetchAlone(f)
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, askTimeout)
	defer cancel()
	stream, err := conn.Open(ctx, &wire.LoadPermitRequest{
		VM: s.name(), Upstream: s.o.Settings.Service, Model: f.Model, Priority: f.Priority, Remaining: f.Remaining,
	})
	if err != nil {
		s.fetchAlone(f)
		return
	}
	defer stream.Reset()
	_ = stream.SetDeadline(time.Now().Add(askTimeout))
	m, err := stream.Recv()
	ticket, ok := m.(*wire.LoadPermit)
	if err != nil || !ok {
		s.fetching(f.ID, "", false)
		return
	}
	model := f.Model
	if model == "" {
		model = ticket.Model
	}
	s.o.Logger.WithFields(log.Fields{"model": model, "router": conn.Peer().VM, "ahead": f.Model == ""}).Info("place at the weight store")
	s.fetching(f.ID, model, true)
	s.holdPlace(conn, f.ID)
}

// fetchAlone goes on without a place, but only for requests that wait: a lost
// router must cost speed, not answers.
func (s *Sidecar) fetchAlone(f *residency.PermitRequest) {
	if wait.Sleep(s.ctx, silentPatience) != nil {
		return
	}
	s.fetching(f.ID, f.Model, f.Model != "")
}

func (s *Sidecar) fetching(id uint64, model ident.Model, granted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.do(s.machine.PermitDecided(s.o.Now(), id, model, granted))
}

// holdPlace returns when the machine has used its place or the router is gone.
func (s *Sidecar) holdPlace(conn *transport.Conn, id uint64) {
	tick := time.NewTicker(placePoll)
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
		open := s.machine.PermitRequestOpen(id)
		s.mu.Unlock()
		if !open {
			return
		}
	}
}

// coordinator is the router that hands out places: the first by name of those
// that are connected, so that all sidecars of a whole network ask the same.
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
