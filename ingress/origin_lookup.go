package ingress

import (
	"context"
	"time"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/internal/wait"
	"github.com/laureltally/laureltally/wire"
)

const (
	// originTimeout bounds the query which version began a stream, including the time in
	// which a router that has just started connects to the homes.
	originTimeout = time.Second
	// farOriginDelay is how long the homes in the router's own region are asked alone.
	// Callers usually return to a router in the region where their stream began.
	farOriginDelay = 50 * time.Millisecond
	// linkPollInterval is the interval at which a home without a connection is checked
	// again.
	linkPollInterval = 20 * time.Millisecond
)

// lookupOrigin asks the homes of a stream which software version began it. It returns false
// if none of them knows.
func (s *Server) lookupOrigin(ctx context.Context, service ident.Upstream, request string) (string, bool) {
	if request == "" {
		return "", false
	}
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	near, far := s.queryHomes(request)
	replies := make(chan wire.StreamOrigin, len(near)+len(far))
	ask := func(links []*sidecarLink, delay time.Duration) {
		for _, l := range links {
			go func() {
				_ = wait.Sleep(ctx, delay)
				replies <- l.queryOrigin(ctx, service, request)
			}()
		}
	}
	ask(near, 0)
	ask(far, farOriginDelay)
	for range len(near) + len(far) {
		if r := <-replies; r.Known {
			return r.Software, true
		}
	}
	return "", false
}

// queryOrigin asks one sidecar, once it is connected. The reply is that it does not know if
// it can't be asked.
func (l *sidecarLink) queryOrigin(ctx context.Context, service ident.Upstream, request string) wire.StreamOrigin {
	conn := l.conn.Load()
	for conn == nil {
		if wait.Sleep(ctx, linkPollInterval) != nil {
			return wire.StreamOrigin{}
		}
		conn = l.conn.Load()
	}
	m, err := conn.Call(ctx, &wire.StreamOriginQuery{Upstream: service, Request: request})
	if reply, ok := m.(*wire.StreamOrigin); ok && err == nil {
		return *reply
	}
	// A query is cancelled once another home has replied.
	if ctx.Err() == nil {
		l.s.metrics.originQueriesFailed.Inc(1)
	}
	return wire.StreamOrigin{}
}
