package ingress

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/resume"
	"github.com/laureltally/laureltally/transport"
	"github.com/laureltally/laureltally/wire"
)

const (
	// lookupHomes is the number of sidecars in each region that are asked which software
	// version began a stream.
	lookupHomes = 2
	// recordTimeout bounds the time to tell a sidecar.
	recordTimeout = time.Second
)

// bindToSoftware binds a request that resumes a stream to the software version that
// began it. If several versions may have and the right one is unknown, it refuses the
// request and returns false: what two versions write must not be joined.
//
// A process that knows a single version takes it without asking, so that a mass restart,
// after which nobody remembers, does not end all streams.
func (d *delivery) bindToSoftware(ctx context.Context) bool {
	if d.info.LastEventID == "" {
		return true
	}
	service := d.requirements.Service
	versions := d.s.clusterState.versions(d.s.o.Now(), service)
	if len(versions) <= 1 {
		d.requirements.Software = cmp.Or(versions...)
		return true
	}
	software, known := d.s.lookupOrigin(ctx, service, d.info.Resumes)
	if !known {
		d.s.o.Logger.WithFields(log.Fields{"request": d.info.ID, "resumes": d.info.Resumes, "versions": versions}).Info("resume refused, software version unknown")
		d.s.metrics.resumesRefused.Inc(1)
		d.finish(stepRefuse, http.StatusServiceUnavailable, "software version of the stream unknown", minRetryAfter)
		return false
	}
	d.requirements.Software = software
	return true
}

// streamBegun is called when the first event of the response is relayed. From then on
// only VMs with the same software version may go on, here or for another attempt of the
// caller.
func (d *delivery) streamBegun() {
	d.requirements.Software = d.choice.VM.Software
	if !d.route.Resumable {
		return
	}
	request := d.info.ID
	if d.info.LastEventID != "" {
		request = cmp.Or(d.info.Resumes, request)
	}
	d.s.recordOrigin(d.requirements.Service, request, d.choice.VM.Software)
}

// recordOrigin remembers which software version began a stream and tells its home
// sidecar.
func (s *Server) recordOrigin(service ident.Upstream, request, software string) {
	s.originsMu.Lock()
	s.origins.Put(s.o.Now(), service, request, software)
	s.originsMu.Unlock()
	homes := s.homes(request, 1)[s.o.Settings.Region]
	if len(homes) == 0 {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		defer cancel()
		stream, err := homes[0].Open(ctx, &wire.StreamBegun{Upstream: service, Request: request, Software: software})
		if err != nil {
			s.metrics.originsNotRecorded.Inc(1)
			return
		}
		_ = stream.CloseSend()
		stream.CloseRecv()
	}()
}

// lookupOrigin returns which software version began a stream, and false if neither this
// process nor the sidecars asked know it.
func (s *Server) lookupOrigin(ctx context.Context, service ident.Upstream, request string) (string, bool) {
	if request == "" {
		return "", false
	}
	s.originsMu.Lock()
	software, known := s.origins.Get(service, request)
	s.originsMu.Unlock()
	if known {
		return software, true
	}
	ctx, cancel := context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	asked, replies := 0, make(chan wire.StreamOrigin)
	for _, conns := range s.homes(request, lookupHomes) {
		for _, c := range conns {
			asked++
			go func() {
				var reply wire.StreamOrigin
				if m, err := c.Call(ctx, &wire.StreamOriginQuery{Upstream: service, Request: request}); err == nil {
					if o, ok := m.(*wire.StreamOrigin); ok {
						reply = *o
					}
				}
				select {
				case replies <- reply:
				case <-ctx.Done():
				}
			}()
		}
	}
	for range asked {
		select {
		case r := <-replies:
			if r.Known {
				return r.Software, true
			}
		case <-ctx.Done():
			return "", false
		}
	}
	return "", false
}

// homes returns the connections to the n sidecars in each region that rank first for a
// request.
func (s *Server) homes(request string, n int) map[ident.Region][]*transport.Conn {
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
		for _, vm := range resume.Homes(request, vms, n) {
			homes[region] = append(homes[region], conns[vm])
		}
	}
	return homes
}
