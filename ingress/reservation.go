package ingress

import (
	"time"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/transport"
	"github.com/laureltally/laureltally/wire"
)

// reservation is the right to send one request to an engine, granted by its sidecar.
type reservation struct {
	stream *transport.Stream
	// waited is how long the request was queued for it.
	waited time.Duration
	// late is set if the grant took much longer to arrive than the request was queued.
	late bool
	// vm is the id of the VM that the reservation is at, or empty if the sidecar does
	// not know it.
	vm ident.VM
	// started is the start time of the VM's server in Unix milliseconds, or zero.
	started int64
	// load is the load of the engine at the time of the reply, or nil.
	load *wire.EngineLoad
}

// release releases the reservation and reports the outcome of the request to the
// sidecar. A nil reservation is ignored. If the report can't be sent, the sidecar
// sees the stream reset.
func (rsv *reservation) release(r result) {
	if rsv == nil {
		return
	}
	m := &wire.ReservationOutcome{TimeToFirstEvent: r.timeToFirstEvent, LongestEventGap: r.longestEventGap, NotLoaded: r.kind == outcomeOtherVM, NotRun: r.notRun(), Streamed: r.streamed}
	if r.kind == outcomeDelivered {
		m.Duration = r.took
	}
	if err := rsv.stream.Send(m); err != nil {
		rsv.stream.Reset()
		return
	}
	_ = rsv.stream.CloseSend()
	rsv.stream.CloseRecv()
}
