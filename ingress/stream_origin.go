package ingress

import (
	"context"
	"net/http"

	"github.com/apex/log"

	"github.com/laureltally/laureltally/fleet"
	"github.com/laureltally/laureltally/ident"
)

// bindToSoftware binds a request that resumes a stream to the software version that
// began it. If that is unknown or no VM has it, it refuses the request and returns false:
// what two versions write must not be joined.
func (d *delivery) bindToSoftware(ctx context.Context) bool {
	if d.info.LastEventID == "" {
		return true
	}
	service := d.requirements.Service
	software, source := d.s.findOrigin(ctx, service, d.info.Resumes)
	if source == originUnknown {
		if !d.s.archive.hasBeenRead() {
			d.retryAfter = archiveRetryAfter
		}
		d.refuseResume("software version of the stream unknown", software)
		return false
	}
	if !d.s.clusterState.hasSoftware(service, software) {
		// A registration that expired in an outage of the store is renewed within this time.
		d.retryAfter = fleet.DefaultReturnGrace
		d.refuseResume("no VM has the software version of the stream", software)
		return false
	}
	d.s.o.Logger.WithFields(log.Fields{"request": d.info.ID, "resumes": d.info.Resumes, "software": software, "source": source}).Info("stream resumed")
	d.requirements.Software = software
	return true
}

func (d *delivery) refuseResume(reason, software string) {
	d.s.o.Logger.WithFields(log.Fields{"request": d.info.ID, "resumes": d.info.Resumes, "software": software, "reason": reason}).Info("resume refused")
	d.s.metrics.resumesRefused.Inc(1)
	d.finish(stepRefuse, http.StatusServiceUnavailable, reason, d.retryAfter)
}

// avoidUnrecorded keeps a resumable stream from beginning at a software version that the
// store does not have yet: if all routers ended, nobody would know of that version.
func (d *delivery) avoidUnrecorded(ctx context.Context) {
	if !d.route.Resumable || d.requirements.Software != "" {
		return
	}
	d.s.software.await(ctx, d.requirements.Service)
	d.requirements.AvoidSoftware = d.s.software.unrecorded(d.requirements.Service)
}

// needsSoftware reports whether the software version of the VM that gets the request has to be
// known: the stream continues at one version only, or may be resumed later. A server that has
// restarted under its id may have another version than the list has.
func (d *delivery) needsSoftware() bool {
	return d.requirements.Software != "" || d.route.Resumable
}

// streamBegun is called when the first event of the response is relayed. From then on
// only VMs with the same software version may continue it, here or for another attempt of
// the caller.
func (d *delivery) streamBegun() {
	d.requirements.Software = d.choice.VM.Software
	if !d.route.Resumable {
		return
	}
	d.s.origins.begun(d.s.o.Now(), d.origin())
	if d.info.Resumes != "" {
		// A caller that resumes again may name either attempt.
		o := d.origin()
		o.request = d.info.Resumes
		d.s.origins.begun(d.s.o.Now(), o)
	}
}

// streamOver is called when the response ends, in whatever way.
func (d *delivery) streamOver() {
	if !d.route.Resumable || !d.stream.begun {
		return
	}
	for _, request := range []string{d.info.ID, d.info.Resumes} {
		d.s.origins.ended(d.requirements.Service, request)
	}
}

func (d *delivery) origin() origin {
	return origin{service: d.requirements.Service, request: d.info.ID, software: d.requirements.Software}
}

// origin says which software version began a stream. Request is the id of an attempt of the
// caller.
type origin struct {
	service  ident.Upstream
	request  string
	software string
}

// originSource is how a router knows the version that began a stream. It is a log value.
type originSource string

const (
	originUnknown originSource = ""
	// originOwn means that this process began the stream.
	originOwn originSource = "own"
	// originHome means that a sidecar was told.
	originHome originSource = "home"
	// originArchive means that it is in the archive in the store.
	originArchive originSource = "archive"
	// originOnly means that the service has had one version.
	originOnly originSource = "only version"
)

// findOrigin returns which software version began a stream, and how that is known.
func (s *Server) findOrigin(ctx context.Context, service ident.Upstream, request string) (string, originSource) {
	if software, ok := s.origins.get(service, request); ok {
		return software, originOwn
	}
	if software, ok := s.archive.get(service, request); ok {
		return software, originArchive
	}
	if software, ok := s.lookupOrigin(ctx, service, request); ok {
		return software, originHome
	}
	if software, ok := s.software.only(ctx, service); ok {
		return software, originOnly
	}
	if software, ok := s.archive.lookup(ctx, service, request); ok {
		return software, originArchive
	}
	return "", originUnknown
}
