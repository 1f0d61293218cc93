package router

import (
	"context"
	"sync"
	"time"

	"github.com/laureltally/laureltally/transport"
	"github.com/laureltally/laureltally/wire"
)

// handleStream serves a stream that an agent opens on the router's connection.
func (s *Server) handleStream(ctx context.Context, peer wire.Hello, first wire.Message, stream *transport.Stream) {
	m, ok := first.(*wire.LoadPermitRequest)
	env := (*environment)(nil)
	if ok {
		env = s.environments[m.Environment]
	}
	if env == nil || m.VM != peer.VM {
		stream.Reset()
		return
	}
	s.serveTicket(ctx, env, m, stream)
}

// serveTicket waits for a place and lets the agent hold it until it ends the
// stream.
func (s *Server) serveTicket(ctx context.Context, env *environment, m *wire.LoadPermitRequest, stream *transport.Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		defer cancel()
		_, _ = stream.Recv()
	}()
	p, err := s.acquirePlace(ctx, env, m, stream)
	if err != nil {
		stream.Reset()
		<-ended
		return
	}
	if err := stream.Send(&wire.LoadPermit{}); err != nil {
		stream.Reset()
	}
	s.o.Metrics.Counter("tickets").Inc(1)
	p.hold(ctx, ended)
	stream.Reset()
	<-ended
}

// acquirePlace waits for a place and sends pings meanwhile, so that the agent
// knows that it is still waited for.
func (s *Server) acquirePlace(ctx context.Context, env *environment, m *wire.LoadPermitRequest, stream *transport.Stream) (*place, error) {
	granted := make(chan struct{})
	var pings sync.WaitGroup
	pings.Go(func() { pingUntil(granted, stream) })
	defer pings.Wait()
	defer close(granted)
	return env.gate.acquire(ctx, s.ticketRequest(env, m))
}

// waitPing is how often an agent that waits for a place gets a ping.
const waitPing = 500 * time.Millisecond

func pingUntil(done <-chan struct{}, stream *transport.Stream) {
	tick := time.NewTicker(waitPing)
	defer tick.Stop()
	for seq := uint64(1); ; seq++ {
		select {
		case <-done:
			return
		case <-tick.C:
			_ = stream.Send(&wire.Ping{Seq: seq})
		}
	}
}
