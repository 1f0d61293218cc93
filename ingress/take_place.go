package ingress

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/laureltally/laureltally/placement"
	"github.com/laureltally/laureltally/upstreamhttp"
	"github.com/laureltally/laureltally/wire"
)

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
		if d.need.Model == "" || !choice.AgentReachable {
			return nil, true
		}
		p, err := d.reserve(ctx, choice)
		if err == nil {
			d.choice.VM = d.s.belief.vmOfPlace(choice.VM, p.vm)
		}
		err = stillGood(err, d.choice.VM != nil && d.s.belief.usable(d.s.o.Now(), d.choice.VM))
		var (
			refused *RefusedError
			leaving *VMLeavingError
		)
		switch {
		case err == nil:
			d.waited = p.waited
			return p, true
		case errors.As(err, &leaving):
			d.choice = choice
			d.note("place given back", err)
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
		CacheTokens:  d.info.PromptTokens + d.info.MaxOutputTokens,
		PromptTokens: d.info.PromptTokens,
		MaxWait:      min(patience(now, d.start, d.deadline, d.route, c.Readiness), d.s.stopPatience(now)),
		Objective:    d.start.Add(d.route.Objective).Sub(now),
		MaxEventGap:  d.route.MaxEventGap,
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
