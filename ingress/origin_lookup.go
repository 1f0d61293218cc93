package ingress

import (
	"context"
	"time"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/internal/wait"
	"github.com/laureltally/laureltally/resume"
	"github.com/laureltally/laureltally/transport"
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
	ask := func(links []*sidecarLink) {
		for _, l := range links {
			go func() { replies <- l.queryOrigin(ctx, service, request) }()
		}
	}
	ask(near)
	nearOver := time.NewTimer(farOriginDelay)
	defer nearOver.Stop()
	asked, farAsked := len(near), false
	for answered := 0; answered < asked || !farAsked; {
		if answered == asked && !farAsked {
			ask(far)
			asked, farAsked = asked+len(far), true
			continue
		}
		select {
		case r := <-replies:
			if answered++; r.Known {
				return r.Software, true
			}
		case <-nearOver.C:
			if !farAsked {
				ask(far)
				asked, farAsked = asked+len(far), true
			}
		case <-ctx.Done():
			return "", false
		}
	}
	return "", false
}

// queryHomes returns the links to the sidecars that may know of a stream, those in the
// router's region and the others.
func (s *Server) queryHomes(request string) (near, far []*sidecarLink) {
	s.mu.Lock()
	defer s.mu.Unlock()
	agents := make([]resume.Agent, 0, len(s.links))
	for address, l := range s.links {
		agents = append(agents, resume.Agent{VM: ident.VM(address), Zone: l.vm.Zone})
	}
	for _, home := range resume.QueryHomes(request, agents) {
		l := s.links[string(home)]
		if l.vm.Region == s.o.Settings.Region {
			near = append(near, l)
		} else {
			far = append(far, l)
		}
	}
	return near, far
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
	if err != nil {
		return wire.StreamOrigin{}
	}
	reply, ok := m.(*wire.StreamOrigin)
	if !ok {
		return wire.StreamOrigin{}
	}
	return *reply
}

// recordSidecars returns the connected sidecars that may be told of a stream: those of the
// router's region or, if there are none, all.
func (s *Server) recordSidecars() ([]resume.Agent, map[ident.VM]*transport.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var near, all []resume.Agent
	conns := make(map[ident.VM]*transport.Conn)
	for address, l := range s.links {
		c := l.conn.Load()
		if c == nil {
			continue
		}
		a := resume.Agent{VM: ident.VM(address), Zone: l.vm.Zone}
		conns[a.VM] = c
		all = append(all, a)
		if l.vm.Region == s.o.Settings.Region {
			near = append(near, a)
		}
	}
	if len(near) > 0 {
		return near, conns
	}
	return all, conns
}

// homes returns the connections to the n sidecars in each region that rank first for a key.
func (s *Server) homes(key string, n int) map[ident.Region][]*transport.Conn {
	s.mu.Lock()
	agents := make(map[ident.Region][]ident.VM)
	conns := make(map[ident.VM]*transport.Conn)
	for _, l := range s.links {
		if c := l.conn.Load(); c != nil {
			agent := ident.VM(l.vm.Address)
			agents[l.vm.Region] = append(agents[l.vm.Region], agent)
			conns[agent] = c
		}
	}
	s.mu.Unlock()
	homes := make(map[ident.Region][]*transport.Conn, len(agents))
	for region, vms := range agents {
		for _, vm := range resume.Homes(key, vms, n) {
			homes[region] = append(homes[region], conns[vm])
		}
	}
	return homes
}
