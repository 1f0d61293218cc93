package ingress

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/laureltally/laureltally/placement"
	"github.com/laureltally/laureltally/serving"
	"github.com/laureltally/laureltally/upstreamhttp"
	"github.com/laureltally/laureltally/wire"
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

	need       placement.Need
	attempts   int
	refusals   int
	mayHaveRun bool
	retryAfter time.Duration
	stream     streamState
	// choice and place are those of the newest attempt.
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
	if d.info.Patience > 0 && (limit == 0 || d.info.Patience < limit) {
		limit = d.info.Patience
	}
	if limit == 0 {
		limit = maxRequestTime
	}
	d.deadline = d.start.Add(limit)
	d.need = placement.Need{
		Service: d.route.Pick(d.info.ID), Model: d.info.Model, Adapter: d.info.Adapter,
		Priority: d.route.Priority,
	}
	if s := d.snap.Config.Services[d.need.Service]; s == nil || s.Engine == nil {
		d.need.Model, d.need.Adapter = "", ""
	}
	d.stream.lastID = d.info.LastEventID
}

// place chooses a VM and reserves a place there. It answers the caller itself if
// there is none.
func (d *delivery) place(ctx context.Context) (*place, bool) {
	for {
		now := d.s.o.Now()
		d.need.Remaining = d.deadline.Sub(now)
		choice, err := d.s.belief.choose(now, d.need)
		if err != nil {
			d.noPlace(err)
			return nil, false
		}
		d.choice = choice
		if d.need.Model == "" || !choice.Agent {
			return nil, true
		}
		p, err := d.reserve(ctx, choice)
		var refused *RefusedError
		switch {
		case err == nil && d.s.belief.usable(d.s.o.Now(), choice.VM):
			d.waited = p.waited
			return p, true
		case err == nil:
			d.note("the VM began to leave while the request waited", nil)
			p.settle(result{})
		case d.r.Context().Err() != nil:
			d.log(stop, 0, log.Fields{"outcome": callerGone})
			d.s.metrics.request(string(callerGone))
			return nil, false
		case d.s.halt.Err() != nil:
			d.noPlace(&StoppingError{})
			return nil, false
		case errors.As(err, &refused):
			d.refused(choice, refused)
		case choice.Readiness == placement.Loaded:
			// The sidecar is silent, but its engine may well serve.
			d.note("sidecar did not answer, sent without a place", err)
			return nil, true
		default:
			d.note("sidecar did not answer", err)
		}
		d.need.Exclude = append(d.need.Exclude, choice.VM.ID)
		d.refusals++
		if d.refusals >= maxRefusals {
			d.noPlace(err)
			return nil, false
		}
	}
}

func (d *delivery) refused(c placement.Choice, e *RefusedError) {
	if d.retryAfter == 0 || e.RetryAfter < d.retryAfter {
		d.retryAfter = e.RetryAfter
	}
	d.s.o.Logger.WithFields(log.Fields{
		"request": d.info.ID, "vm": c.VM.ID, "readiness": c.Readiness, "report_ms": ms(c.ReportAge),
		"reason": e.Reason, "retry_after_ms": ms(e.RetryAfter),
	}).Info("place refused")
}

// reserve asks the sidecar of a VM for a place.
func (d *delivery) reserve(ctx context.Context, c placement.Choice) (*place, error) {
	link := d.s.sidecar(c.VM.ID)
	if link == nil {
		return nil, &upstreamhttp.DialError{Address: c.AgentAddress, Err: context.Canceled}
	}
	now := d.s.o.Now()
	begun := time.Now()
	p, err := link.reserve(ctx, &wire.Reserve{
		Request: d.info.ID, Model: d.need.Model, Adapter: d.need.Adapter, Priority: d.need.Priority,
		Tokens:    d.info.PromptTokens + d.info.MaxOutputTokens,
		Patience:  min(patience(now, d.start, d.deadline, d.route, c.Readiness), d.s.stopPatience(now)),
		Objective: d.start.Add(d.route.Objective).Sub(now),
		Gap:       d.route.MaxEventGap,
	})
	d.s.metrics.reserve.RecordDuration(time.Since(begun))
	return p, err
}

// noPlace ends a request that no VM can take.
func (d *delivery) noPlace(err error) {
	var none *placement.NoVMError
	if errors.As(err, &none) && d.retryAfter == 0 {
		d.retryAfter = none.RetryAfter
	}
	switch {
	case d.stream.begun:
		d.finish(cut, 0, err.Error(), 0)
	case d.mayHaveRun:
		d.finish(giveUp, http.StatusBadGateway, err.Error(), 0)
	default:
		d.finish(refuse, http.StatusServiceUnavailable, err.Error(), d.retryAfter)
	}
}

// after decides what follows a failed attempt and tells whether the request has
// had its final answer.
func (d *delivery) after(res result) bool {
	now := d.s.o.Now()
	if res.kind == broken || res.kind == timedOut || res.kind == failedAnswer {
		d.mayHaveRun = true
	}
	next := situation{
		kind: res.kind, repeatable: d.route.Repeatable(), mayHaveRun: d.mayHaveRun,
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

func reason(res result) string {
	if res.err != nil {
		return string(res.kind) + ": " + res.err.Error()
	}
	return string(res.kind)
}

// finish gives the caller an answer of the system's own.
func (d *delivery) finish(st step, status int, why string, retryAfter time.Duration) {
	d.log(st, status, log.Fields{"reason": why, "retry_after_ms": ms(retryAfter)})
	if st == cut {
		panic(http.ErrAbortHandler)
	}
	if status == http.StatusServiceUnavailable {
		d.w.Header().Set("Retry-After", d.s.o.Protocol.RetryAfter(d.comeBack(retryAfter)))
		d.s.metrics.request("refused")
	}
	d.w.Header().Set("Content-Length", "0")
	d.w.WriteHeader(status)
}

// comeBack bounds a pause to what callers honour.
func (d *delivery) comeBack(after time.Duration) time.Duration {
	after = max(after, minRetryAfter)
	if d.deadline.IsZero() {
		return after
	}
	return min(after, time.Duration(retryShare*float64(d.deadline.Sub(d.s.o.Now()))))
}

// note logs a turn within a request.
func (d *delivery) note(what string, err error) {
	l := d.s.o.Logger.WithFields(log.Fields{"request": d.info.ID, "vm": d.choice.VM.ID, "attempt": d.attempts})
	if err != nil {
		l = l.WithError(err)
	}
	l.Info(what)
}

// log writes the final line of a request.
func (d *delivery) log(st step, status int, more log.Fields) {
	now := d.s.o.Now()
	f := log.Fields{
		"request": d.info.ID, "step": st, "status": status, "attempts": d.attempts,
		"elapsed_ms": ms(now.Sub(d.start)), "config_age_ms": ms(d.s.configAge(now)),
	}
	if d.snap != nil {
		f["config"] = d.snap.Config.Revision
	}
	if d.route != nil {
		f["route"], f["service"] = d.route.Name, d.need.Service
	}
	if d.need.Model != "" {
		f["model"], f["adapter"] = d.need.Model, d.need.Adapter
	}
	if d.choice.VM != nil {
		f["vm"], f["readiness"], f["report_ms"] = d.choice.VM.ID, d.choice.Readiness, ms(d.choice.ReportAge)
		f["expected_ms"], f["waited_ms"] = ms(d.choice.Wait), ms(d.waited)
	}
	for k, v := range more {
		f[k] = v
	}
	d.s.o.Logger.WithFields(f).Info("request ended")
}

func ms(t time.Duration) int64 { return t.Milliseconds() }
