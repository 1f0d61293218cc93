package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/laureltally/laureltally/placement"
	"github.com/laureltally/laureltally/serving"
)

const (
	// answerSlack is how much longer than the route allows an answer is waited for,
	// since upstreams answer at the deadline themselves.
	answerSlack = 120 * time.Millisecond
	// writeSlack is how much longer writing the last answer may take.
	writeSlack = time.Second
	// leastTime is the time that another attempt needs to be of use.
	leastTime = 50 * time.Millisecond
	// maxRefusals is how many sidecars are asked for a place, each in one round
	// trip.
	maxRefusals = 3
	// minRetryAfter keeps callers from coming back at once.
	minRetryAfter = 200 * time.Millisecond
	// retryShare is the part of a caller's remaining time that it waits at most
	// before it comes back.
	retryShare = 0.3
)

// delivery is one request of a caller, until its final answer.
type delivery struct {
	s     *Server
	w     http.ResponseWriter
	r     *http.Request
	snap  *serving.Snapshot
	route *serving.Route
	info  serving.RequestInfo
	body  []byte
	start time.Time
	// deadline is when the answer is of no more use.
	deadline time.Time

	need       placement.Requirements
	attempts   int
	refusals   int
	mayHaveRun bool
	retryAfter time.Duration
	stream     streamState
	// choice is that of the newest attempt, and waited the time for its place.
	choice placement.Choice
	waited time.Duration
}

// run makes attempts until the request has its final answer.
func (d *delivery) run() {
	d.prepare()
	ctx, cancel := context.WithDeadline(d.r.Context(), d.deadline.Add(answerSlack))
	defer cancel()
	// What has not begun when the process has to end is answered before that.
	defer context.AfterFunc(d.s.halt, cancel)()
	_ = http.NewResponseController(d.w).SetWriteDeadline(d.deadline.Add(answerSlack + writeSlack))
	for {
		p, ok := d.place(ctx)
		if !ok {
			return
		}
		res := d.attempt(ctx)
		p.settle(res)
		if res.kind == delivered {
			d.log(stop, http.StatusOK, log.Fields{"outcome": delivered, "first_ms": ms(res.firstEvent), "took_ms": ms(res.took), "gap_ms": ms(res.worstGap)})
			d.s.metrics.request(string(delivered))
			return
		}
		if d.after(res) {
			return
		}
	}
}

func (d *delivery) prepare() {
	limit := d.route.Timeout
	if d.info.Timeout > 0 && (limit == 0 || d.info.Timeout < limit) {
		limit = d.info.Timeout
	}
	if limit == 0 {
		limit = maxRequestTime
	}
	d.deadline = d.start.Add(limit)
	d.need = placement.Requirements{
		Service: d.route.Pick(d.info.ID), Model: d.info.Model, Adapter: d.info.Adapter,
		Priority: d.route.Priority,
	}
	if s := d.snap.Config.Services[d.need.Service]; s == nil || s.Engine == nil {
		d.need.Model, d.need.Adapter = "", ""
	}
	d.stream.lastID = d.info.LastEventID
}

// after decides what follows a failed attempt and tells whether the request has
// had its final answer.
func (d *delivery) after(res result) bool {
	now := d.s.o.Now()
	if res.kind == broken || res.kind == timedOut || res.kind == failedAnswer {
		d.mayHaveRun = true
	}
	next := situation{
		kind: res.kind, repeatable: d.route.Retryable(), mayHaveRun: d.mayHaveRun,
		begun: d.stream.begun, resumable: d.route.Resumable && d.stream.lastID != "",
		attempts: d.attempts, maxAttempts: d.route.MaxAttempts,
		timeLeft:     d.deadline.Sub(now) > leastTime,
		retryAllowed: func() bool { return d.s.belief.takeRetry(now, d.need.Service) },
	}.next()
	switch next {
	case again:
		d.need.Exclude = append(d.need.Exclude, d.choice.VM.ID)
		d.note("attempt failed, another VM is asked", res.err)
		return false
	case passOn:
		d.deliverWhole(res.answer)
		d.log(next, res.answer.status, log.Fields{"outcome": res.kind})
	case stop:
		d.log(next, 0, log.Fields{"outcome": res.kind})
	case cut:
		d.finish(cut, 0, reason(res), 0)
	case giveUp:
		status := http.StatusBadGateway
		if res.kind == timedOut {
			status = http.StatusGatewayTimeout
		}
		d.finish(giveUp, status, reason(res), 0)
	default:
		d.finish(refuse, http.StatusServiceUnavailable, reason(res), d.retryAfter)
	}
	d.s.metrics.request(string(res.kind))
	return true
}
