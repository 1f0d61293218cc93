package ingress

import (
	"time"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/transport"
	"github.com/laureltally/laureltally/wire"
)

// place is a reserved place in an upstream.
type place struct {
	stream *transport.Stream
	// waited is how long the request was queued for it.
	waited time.Duration
	// vm is the id that the place is at, or empty if the sidecar does not know it.
	vm ident.VM
}

// settle gives the place back and tells the sidecar how the request went. A nil
// place is none. A sidecar that can't be told sees the connection end.
func (p *place) settle(r result) {
	if p == nil {
		return
	}
	m := &wire.ReservationOutcome{TimeToFirstEvent: r.firstEvent, LongestEventGap: r.worstGap, NotLoaded: r.kind == otherVM}
	if r.kind == delivered {
		m.Duration = r.took
	}
	if err := p.stream.Send(m); err != nil {
		p.stream.Reset()
		return
	}
	_ = p.stream.CloseSend()
	p.stream.CloseRecv()
}
