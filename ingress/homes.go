package ingress

import (
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/resume"
	"github.com/laureltally/laureltally/transport"
)

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
