package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/laureltally/laureltally/allotment"
	"github.com/laureltally/laureltally/transport"
)

// noBankRetryAfter is when a caller should come back whose tenant has no bank in reach: a
// connection to a sidecar that has restarted takes about as long.
const noBankRetryAfter = time.Second

// charge is what a request took from its tenant's allotment.
type charge struct {
	cost float64
	// expires is when what was granted can no longer be returned; zero if nothing was.
	expires time.Time
	// age is the time since a bank last stated that it has nothing left.
	age time.Duration
}

// withinAllotment takes the cost of the request from its tenant's allotment. If there is too
// little, or no bank can be asked, it responds to the caller itself and returns false.
func (d *delivery) withinAllotment(ctx context.Context) bool {
	if d.tenant == nil || !d.tenant.Allotment.Limited() {
		return true
	}
	a := &d.tenant.Allotment
	d.charge.cost = a.Cost(&d.info)
	if d.charge.cost <= 0 {
		return true
	}
	switch v := d.s.allotments.take(ctx, d.claim()).(type) {
	case *allotment.Granted:
		d.charge.expires = v.Expires
		d.s.metrics.countAllotment(d.tenant.Name, allotmentGranted, d.charge.cost)
		return true
	case *allotment.Refused:
		d.charge.age = v.Age
		d.s.metrics.countAllotment(d.tenant.Name, allotmentRefused, d.charge.cost)
		d.finish(stepRefuse, http.StatusTooManyRequests, "allotment of the tenant used up", v.RetryAfter)
	case *allotment.Unavailable:
		d.s.metrics.countAllotment(d.tenant.Name, allotmentUnavailable, d.charge.cost)
		d.finish(stepRefuse, http.StatusServiceUnavailable, "no bank of the tenant's allotment in reach", noBankRetryAfter)
	default:
		d.endedWhileWaiting()
	}
	return false
}

// endedWhileWaiting ends a request whose caller has gone, or whose deadline has passed, before
// a bank answered.
func (d *delivery) endedWhileWaiting() {
	switch {
	case d.r.Context().Err() != nil:
		d.log(stepNone, 0, nil)
		d.s.metrics.countRequest(string(outcomeCallerGone))
	case d.s.forceStop.Err() != nil:
		d.noVM(&StoppingError{})
	default:
		d.finish(stepRefuse, http.StatusServiceUnavailable, "no answer about the tenant's allotment in time", noBankRetryAfter)
	}
}

// claim returns what the request claims of its tenant's allotment.
func (d *delivery) claim() allotment.Claim {
	a := &d.tenant.Allotment
	return allotment.Claim{
		Tenant: d.tenant.Name, Cost: d.charge.cost,
		Terms: allotment.Terms{PerSecond: a.PerSecond, Burst: a.Burst, Version: allotment.VersionOf(d.snap.Config)},
	}
}

// returnCharge gives back what the request took, unless an upstream may have got it: then it
// counts, even if the upstream declined it.
func (d *delivery) returnCharge() {
	if d.charge.expires.IsZero() || d.attempts > 0 {
		return
	}
	d.s.allotments.giveBack(d.tenant.Name, d.charge)
	d.s.metrics.countAllotment(d.tenant.Name, allotmentReturned, d.charge.cost)
}

// bankConn returns the connection to the sidecar of an engine, or nil.
func (s *Server) bankConn(address string) *transport.Conn {
	link := s.sidecar(address)
	if link == nil {
		return nil
	}
	return link.conn.Load()
}
