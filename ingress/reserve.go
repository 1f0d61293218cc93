package ingress

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/laureltally/laureltally/internal/wait"
	"github.com/laureltally/laureltally/placement"
	"github.com/laureltally/laureltally/upstreamhttp"
	"github.com/laureltally/laureltally/wire"
)

// reservation chooses a VM and makes a reservation there. It responds to the caller
// itself if no VM accepts the request.
func (d *delivery) reservation(ctx context.Context) (*reservation, bool) {
	for {
		now := d.s.o.Now()
		d.requirements.Remaining = d.deadline.Sub(now)
		choice, err := d.s.clusterState.choose(now, d.requirements)
		if err != nil {
			d.noVM(err)
			return nil, false
		}
		d.choice = choice
		if d.requirements.Model == "" || !choice.AgentReachable {
			if d.knownServer(ctx) {
				return nil, true
			}
			if d.r.Context().Err() != nil {
				d.callerGoneWhileWaiting()
				return nil, false
			}
			d.requirements.Exclude = append(d.requirements.Exclude, choice.VM.ID)
			if err := new(StartUnknownError); !d.asksFurther(err) {
				d.noVM(err)
				return nil, false
			}
			continue
		}
		rsv, err := d.reserve(ctx, choice)
		if err == nil {
			started := int64(0)
			if d.needsSoftware() {
				started = rsv.started
			}
			if d.choice.VM = d.s.clusterState.reservedVM(choice.VM, rsv.vm, started, &d.requirements); d.choice.VM == nil {
				wait.Notify(d.s.listOutdated)
			}
		}
		// The server may have started anew since a late grant, which then fits an old list.
		usable := d.choice.VM != nil && (err != nil || !rsv.late || d.listedServer(ctx))
		err = checkUsable(err, usable && d.s.clusterState.usable(d.s.o.Now(), d.choice.VM))
		var (
			refused *RefusedError
			leaving *VMLeavingError
		)
		switch {
		case err == nil:
			d.waited = rsv.waited
			return rsv, true
		case errors.As(err, &leaving):
			d.choice = choice
			d.logEvent("reservation released", err)
			rsv.release(result{})
		case d.r.Context().Err() != nil:
			d.callerGoneWhileWaiting()
			return nil, false
		case d.s.forceStop.Err() != nil:
			d.noVM(&StoppingError{})
			return nil, false
		case errors.As(err, &refused):
			d.refused(choice, refused)
		case d.bypassSidecar(choice, d.s.o.Now().Sub(now), err) && d.listedServer(ctx):
			return nil, true
		}
		d.requirements.Exclude = append(d.requirements.Exclude, choice.VM.ID)
		if !d.asksFurther(err) {
			d.noVM(err)
			return nil, false
		}
	}
}

func (d *delivery) callerGoneWhileWaiting() {
	d.log(stepNone, 0, log.Fields{"outcome": outcomeCallerGone})
	d.s.metrics.countRequest(string(outcomeCallerGone))
}

// asksFurther counts a VM that gave no reservation and reports whether another one is asked. One
// that is gone says nothing about the load of the others: right after a crash in a release, the
// VMs that a router knows best are such ones.
func (d *delivery) asksFurther(err error) bool {
	var (
		refused *RefusedError
		leaving *VMLeavingError
	)
	if errors.As(err, &leaving) || errors.As(err, &refused) && refused.Gone {
		d.gone++
	} else {
		d.refusals++
	}
	return d.refusals < maxRefusals && d.gone < maxGone
}

// bypassSidecar reports whether a request is sent without a reservation, since the sidecar
// of the chosen VM did not respond within a time but its engine may still serve requests.
func (d *delivery) bypassSidecar(c placement.Choice, waited time.Duration, err error) bool {
	// A shorter wait ended with the request's own time.
	if waited >= replyTimeout {
		d.s.clusterState.sidecarLost(d.s.o.Now(), c.VM.Address)
	}
	switch {
	case c.Readiness != placement.Loaded:
		d.logEvent("sidecar did not respond", err)
		return false
	case !d.s.clusterState.takeBypass(d.s.o.Now(), c.VM.ID):
		d.logEvent("sidecar did not respond, engine gets no more requests for now", err)
		return false
	}
	d.logEvent("sidecar did not respond, sending without a reservation", err)
	return true
}

func (d *delivery) refused(c placement.Choice, e *RefusedError) {
	if d.retryAfter == 0 || e.RetryAfter < d.retryAfter {
		d.retryAfter = e.RetryAfter
	}
	d.s.o.Logger.WithFields(log.Fields{
		"request": d.info.ID, "vm": c.VM.ID, "readiness": c.Readiness, "report_ms": ms(c.ReportAge),
		"reason": e.Reason, "retry_after_ms": ms(e.RetryAfter),
	}).Info("reservation refused")
}

// reserve requests a reservation from the sidecar of a VM.
func (d *delivery) reserve(ctx context.Context, c placement.Choice) (*reservation, error) {
	link := d.s.sidecar(c.VM.Address)
	if link == nil {
		return nil, &upstreamhttp.DialError{Address: c.AgentAddress, Err: context.Canceled}
	}
	now := d.s.o.Now()
	begun := time.Now()
	m := d.reserveMessage(now, c)
	m.SharedMachine = d.s.clusterState.onSharedMachines(now, c.VM.Service)
	rsv, err := link.reserve(ctx, m)
	d.s.metrics.reserve.RecordDuration(time.Since(begun))
	var refused *RefusedError
	switch {
	case err == nil:
		d.s.clusterState.observeLoad(d.s.o.Now(), c.VM.Address, rsv.load)
	case errors.As(err, &refused):
		d.s.clusterState.observeLoad(d.s.o.Now(), c.VM.Address, refused.Load)
	}
	return rsv, err
}

// reserveMessage returns what the sidecar of a VM is asked for.
func (d *delivery) reserveMessage(now time.Time, c placement.Choice) *wire.Reserve {
	return &wire.Reserve{
		Request: d.info.ID, Model: d.requirements.Model, Adapter: d.requirements.Adapter, Priority: d.requirements.Priority,
		CacheTokens:  d.info.PromptTokens + d.info.MaxOutputTokens,
		PromptTokens: d.info.PromptTokens,
		MaxWait:      min(maxWait(now, d.start, d.deadline, d.route, c.Readiness, d.info.LastEventID != ""), d.s.shutdownMaxWait(now)),
		Objective:    d.start.Add(d.route.Objective).Sub(now),
		MaxEventGap:  d.route.MaxEventGap,
		Traits:       d.traits,
		Tenant:       d.tenantName(),
		Allotment:    d.tenant.Rate(),
		Deadline:     max(0, d.deadline.Sub(now)),
		Resumed:      d.info.LastEventID != "",
	}
}

// noVM ends a request that no VM accepts.
func (d *delivery) noVM(err error) {
	var none *placement.NoVMError
	if errors.As(err, &none) && d.retryAfter == 0 {
		d.retryAfter = none.RetryAfter
	}
	switch {
	case d.stream.begun:
		d.finish(stepAbort, 0, err.Error(), 0)
	case d.mayHaveRun:
		d.finish(stepFail, http.StatusBadGateway, err.Error(), 0)
	default:
		d.finish(stepRefuse, http.StatusServiceUnavailable, err.Error(), d.retryAfter)
	}
}
