package ingress

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/internal/wait"
	"github.com/laureltally/laureltally/resume"
	"github.com/laureltally/laureltally/transport"
	"github.com/laureltally/laureltally/wire"
)

const (
	// recordTimeout bounds the time to tell a sidecar.
	recordTimeout = time.Second
	// homesChangedDelay gathers sidecars that join or leave together, as in a release.
	homesChangedDelay = 100 * time.Millisecond
)

// origins holds the software versions of the streams that this process began, and tells
// the streams' homes.
//
// Homes leave with their engines in a release, and restart. The routers may be killed right
// after that, so each running stream is told again to homes that do not have it.
type origins struct {
	s *Server
	// homesChanged wakes the goroutine that tells running streams again.
	homesChanged chan struct{}

	mu      sync.Mutex
	records resume.Records
	running map[streamID]*runningStream
}

// streamID identifies a stream by an attempt of its caller.
type streamID struct {
	service ident.Upstream
	request string
}

// runningStream is a stream that is being relayed.
type runningStream struct {
	origin origin
	// told holds what the sidecars were told, by the sidecar's name.
	told map[ident.VM]telling
}

// telling is how a sidecar was told of a stream: over which connection, and whether it was
// asked to archive it.
type telling struct {
	conn    *transport.Conn
	archive bool
}

func newOrigins(s *Server) *origins {
	return &origins{s: s, homesChanged: make(chan struct{}, 1), running: make(map[streamID]*runningStream)}
}

// get returns the version that began a stream if this process began it.
func (o *origins) get(service ident.Upstream, request string) (string, bool) {
	if request == "" {
		return "", false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.records.Get(service, request)
}

// begun records the origin of a stream and tells its homes.
func (o *origins) begun(now time.Time, of origin) {
	agents, conns := o.s.recordSidecars()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.records.Put(now, of.service, of.request, of.software)
	r := &runningStream{origin: of, told: make(map[ident.VM]telling)}
	o.running[streamID{of.service, of.request}] = r
	o.tellHomes(r, agents, conns)
}

// ended forgets a stream that is no longer relayed; its record is kept.
func (o *origins) ended(service ident.Upstream, request string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.running, streamID{service, request})
}

// run tells running streams again when their homes change, until ctx ends.
func (o *origins) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.homesChanged:
		}
		if wait.Sleep(ctx, homesChangedDelay) != nil {
			return
		}
		agents, conns := o.s.recordSidecars()
		o.mu.Lock()
		for _, r := range o.running {
			o.tellHomes(r, agents, conns)
		}
		o.mu.Unlock()
	}
}

// tellHomes tells the homes of a stream that have not been told over their present
// connection; a sidecar that restarted has a new one. While there are several versions, its
// archiver is told too. The caller holds mu.
func (o *origins) tellHomes(r *runningStream, agents []resume.Agent, conns map[ident.VM]*transport.Conn) {
	homes := resume.RecordHomes(r.origin.request, agents)
	var archiver ident.VM
	if o.s.software.several(r.origin.service) {
		archiver = resume.Archiver(r.origin.request, agents)
	}
	if archiver != "" && !slices.Contains(homes, archiver) {
		homes = append(homes, archiver)
	}
	for _, home := range homes {
		t := telling{conns[home], home == archiver}
		if told := r.told[home]; told.conn == t.conn && (told.archive || !t.archive) {
			continue
		}
		r.told[home] = t
		go o.tell(t, r.origin)
	}
}

func (o *origins) tell(t telling, of origin) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	stream, err := t.conn.Open(ctx, &wire.StreamBegun{Upstream: of.service, Request: of.request, Software: of.software, Archive: t.archive})
	if err != nil {
		o.s.metrics.originsNotRecorded.Inc(1)
		return
	}
	_ = stream.CloseSend()
	stream.CloseRecv()
}
