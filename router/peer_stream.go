package router

import (
	"context"
	"sync"
	"time"

	"github.com/laureltally/laureltally/transport"
	"github.com/laureltally/laureltally/wire"
)

// handleStream serves a stream that an agent opened on the router's connection.
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
	s.servePermit(ctx, env, m, stream)
}

// servePermit grants a load permit, which the agent holds until it ends the stream.
func (s *Server) servePermit(ctx context.Context, env *environment, m *wire.LoadPermitRequest, stream *transport.Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		defer cancel()
		_, _ = stream.Recv()
	}()
	p, err := s.acquirePermit(ctx, env, m, stream)
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

// acquirePermit waits for a load permit. Meanwhile it sends pings, which show the agent
// that the request is still queued.
func (s *Server) acquirePermit(ctx context.Context, env *environment, m *wire.LoadPermitRequest, stream *transport.Stream) (*permit, error) {
	granted := make(chan struct{})
	var pings sync.WaitGroup
	pings.Go(func() { pingUntil(granted, stream) })
	defer pings.Wait()
	defer close(granted)
	return env.permits.acquire(ctx, s.permitRequest(env, m))
}

// pingInterval is the interval of pings to an agent that waits for a load permit.
const pingInterval = 500 * time.Millisecond

func pingUntil(done <-chan struct{}, stream *transport.Stream) {
	tick := time.NewTicker(pingInterval)
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
