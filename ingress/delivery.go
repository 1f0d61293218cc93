package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/placement"
	"github.com/laureltally/laureltally/serving"
	"github.com/laureltally/laureltally/upstreamhttp"
)

const (
	// responseSlack is how long after the deadline a response is awaited, since
	// upstreams respond at the deadline themselves.
	responseSlack = 120 * time.Millisecond
	// writeSlack is the additional time for writing the final response.
	writeSlack = time.Second
	// minAttemptTime is the minimum remaining time in which another attempt is
	// useful.
	minAttemptTime = 50 * time.Millisecond
	// maxRefusals is the maximum number of sidecars asked for a reservation, each in
	// one round trip.
	maxRefusals = 3
	// maxGone is the maximum number of VMs that are asked and turn out to be gone. It bounds
	// the round trips after a loss of many VMs, of which routers learn within a report.
	maxGone = 6
	// minRetryAfter keeps callers from retrying at once.
	minRetryAfter = 200 * time.Millisecond
	// retryShare is the maximum retry delay as a fraction of the caller's remaining
	// time.
	retryShare = 0.3
)

// delivery handles one request of a caller up to its final response.
type delivery struct {
	s    *Server
	w    http.ResponseWriter
	r    *http.Request
	snap *serving.Snapshot
	// config is the read of the configuration that the request is admitted on, or nil.
	config *configRead
	route  *serving.Route
	info   serving.RequestInfo
	// conn is the caller's connection, or nil if there is no budget of buffered bytes.
	conn *callerConn
	body []byte
	// bodyOwed is set while the body has not been read to its end, and headerBytes is the size
	// of the header.
	bodyOwed    bool
	headerBytes int
	start       time.Time
	// authenticated is set if the configuration has tenants, and tenant is the request's
	// tenant, or nil for none.
	authenticated bool
	tenant        *serving.Tenant
	// deadline is when a response is no longer useful.
	deadline time.Time

	requirements placement.Requirements
	attempts     int
	// refusals counts the VMs that refused a reservation, and gone those that turned out to be
	// leaving or to have ended.
	refusals, gone int
	mayHaveRun     bool
	retryAfter     time.Duration
	// retryNotBefore, if set, is when a retry of a refused request can be served at the
	// earliest, also if that is beyond the caller's remaining time.
	retryNotBefore time.Duration
	// traits are those of the request, the last one being its own. soundObserved is set
	// once the current attempt has shown them to be sound.
	traits        []ident.Trait
	soundObserved bool
	// bypass is set while the current attempt was sent past a silent sidecar and has no
	// answer yet.
	bypass bool
	stream streamState
	// answered is set once the final response has been written to its end. Without it the
	// connection is closed within the response.
	answered bool
	// endsWithConnection is set if only the end of the connection marks that of the response.
	endsWithConnection bool
	// choice is that of the latest attempt, and waited the time that its reservation
	// took.
	choice placement.Choice
	waited time.Duration
	// connection, if set, is the one over which the next attempt has to be sent, and
	// connectError the error with which it fails.
	connection   *upstreamhttp.Connection
	connectError error
	// charge is what the request took from its tenant's allotment.
	charge charge
}

// run makes attempts until the request has its final response.
func (d *delivery) run() {
	d.prepare()
	if d.refusedWhileStopping() || d.refusedAsUnservable() {
		return
	}
	ctx, cancel := context.WithDeadline(d.r.Context(), d.deadline.Add(responseSlack))
	defer cancel()
	// Before the process has to exit, the attempt is given up, so that the caller still
	// gets a response if none has begun.
	defer context.AfterFunc(d.s.forceStop, cancel)()
	_ = http.NewResponseController(d.w).SetWriteDeadline(d.deadline.Add(responseSlack + writeSlack))
	if !d.bindToSoftware(ctx) || !d.withinAllotment(ctx) {
		return
	}
	defer d.returnCharge()
	defer d.streamOver()
	defer d.releaseConnection()
	d.avoidUnrecorded(ctx)
	for {
		if d.refusedByQuarantine() {
			return
		}
		rsv, ok := d.reservation(ctx)
		if !ok {
			return
		}
		// The request may have been quarantined, or the shutdown begun, while it waited.
		if d.refusedByQuarantine() || d.tooLateToSend() {
			rsv.release(result{kind: outcomeNotSent})
			return
		}
		res := d.attempt(ctx, rsv == nil)
		rsv.release(res)
		d.observeLostConnection(res, rsv != nil)
		if res.kind == outcomeDelivered {
			d.log(stepNone, http.StatusOK, log.Fields{"outcome": outcomeDelivered, "first_ms": ms(res.timeToFirstEvent), "took_ms": ms(res.took), "gap_ms": ms(res.longestEventGap)})
			d.s.metrics.countRequest(string(outcomeDelivered))
			return
		}
		if d.afterFailure(res) {
			return
		}
	}
}

// timeLimit returns how long after its start the request is useful.
func (d *delivery) timeLimit() time.Duration {
	limit := d.route.Timeout
	if d.info.Timeout > 0 && (limit == 0 || d.info.Timeout < limit) {
		limit = d.info.Timeout
	}
	if limit == 0 {
		limit = maxRequestTime
	}
	return limit
}

func (d *delivery) prepare() {
	d.deadline = d.start.Add(d.timeLimit())
	d.requirements = placement.Requirements{
		Service: d.route.Pick(d.info.ID), Model: d.info.Model, Adapter: d.info.Adapter,
		Priority: d.snap.Priorities.Of(d.tenant, d.route),
	}
	if d.snap.Config.Engine(d.requirements.Service) == nil {
		d.requirements.Model, d.requirements.Adapter = "", ""
	}
	d.stream.lastID = d.info.LastEventID
}

// afterFailure takes the next step after a failed attempt and reports whether the
// caller got its final response.
func (d *delivery) afterFailure(res result) bool {
	now := d.s.o.Now()
	if res.kind == outcomeBroken || res.kind == outcomeTimedOut || res.kind == outcomeFailedResponse {
		d.mayHaveRun = true
	}
	next := attemptState{
		kind: res.kind, retryable: d.route.Retryable(), mayHaveRun: d.mayHaveRun,
		begun: d.stream.begun, resumable: d.route.Resumable && d.stream.lastID != "",
		attempts: d.attempts, maxAttempts: d.route.MaxAttempts,
		timeLeft:     d.deadline.Sub(now) > minAttemptTime,
		retryAllowed: func() bool { return d.s.clusterState.takeRetry(now, d.requirements.Service) },
	}.next()
	switch next {
	case stepRetry:
		d.requirements.Exclude = append(d.requirements.Exclude, d.choice.VM.ID)
		d.logEvent("attempt failed, retrying on another VM", res.err)
		return false
	case stepPassOn:
		d.sendWhole(res.response)
		d.log(next, res.response.status, log.Fields{"outcome": res.kind})
	case stepNone:
		d.log(next, 0, log.Fields{"outcome": res.kind})
	case stepAbort:
		d.finish(stepAbort, 0, reason(res), 0)
	case stepFail:
		status := http.StatusBadGateway
		if res.kind == outcomeTimedOut {
			status = http.StatusGatewayTimeout
		}
		d.finish(stepFail, status, reason(res), 0)
	default:
		d.finish(stepRefuse, http.StatusServiceUnavailable, reason(res), d.retryAfter)
	}
	d.s.metrics.countRequest(string(res.kind))
	return true
}
