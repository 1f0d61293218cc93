package ingress

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/internal/wait"
	"github.com/laureltally/laureltally/serving"
	"github.com/laureltally/laureltally/upstreamhttp"
)

// maxWholeBytes bounds the responses that are buffered whole before they are relayed;
// longer ones are streamed.
const maxWholeBytes = 256 << 10

// maxLoggedValue bounds the bytes of a malformed slowness in the log.
const maxLoggedValue = 64

// attempt sends the request to the chosen VM and relays the response. Unreserved is set if
// there is no reservation for it.
func (d *delivery) attempt(ctx context.Context, unreserved bool) result {
	begun := d.s.o.Now()
	vm, requirements := d.choice.VM.ID, d.requirements
	d.s.clusterState.requestStarted(begun, vm, requirements)
	d.s.metrics.attempts.Inc(1)
	d.soundObserved = false
	if d.bypass = unreserved && requirements.Model != ""; d.bypass {
		d.s.clusterState.bypassStarted(vm)
	}
	res := d.exchange(ctx, begun)
	d.endBypass(vm, false)
	d.observeAnswer(res, begun)
	d.s.metrics.countAttempt(res.kind)
	if res.kind != outcomeNotSent {
		d.attempts++
	}
	took := time.Duration(0)
	if res.kind == outcomeDelivered {
		took = res.took
		d.s.metrics.timeToFirstEvent.RecordDuration(res.timeToFirstEvent)
	}
	if res.kind == outcomeOtherVM {
		d.misdirected(vm, res.responder, requirements.Model)
	}
	d.s.clusterState.requestEnded(d.s.o.Now(), vm, requirements, took, !isVMFailure(res.kind))
	return res
}

// endBypass records that an attempt past a silent sidecar gets its answer, or has ended
// without one.
func (d *delivery) endBypass(vm ident.VM, answered bool) {
	if d.bypass {
		d.bypass = false
		d.s.clusterState.bypassAnswered(d.s.o.Now(), vm, answered)
	}
}

// misdirected records that a VM's address belongs to a different VM or, if a model is
// given, that the VM has not loaded it.
func (d *delivery) misdirected(vm, responder ident.VM, model ident.Model) {
	if responder != "" && responder != vm {
		model = ""
	}
	d.s.clusterState.misdirected(d.s.o.Now(), vm, model)
	wait.Notify(d.s.listOutdated)
	d.s.o.Logger.WithFields(log.Fields{
		"request": d.info.ID, "vm": vm, "responder": responder, "model": model, "report_ms": ms(d.choice.ReportAge), "agent": d.choice.AgentReachable,
	}).Info("request reached the wrong vm or a vm without the model")
}

// isVMFailure reports whether an outcome counts as a failure of the VM.
func isVMFailure(k outcome) bool {
	return k == outcomeNotSent || k == outcomeBroken || k == outcomeFailedResponse
}

// exchange sends the request and reads the response.
func (d *delivery) exchange(ctx context.Context, begun time.Time) result {
	response, err := d.send(ctx, begun)
	if err != nil {
		return d.failure(ctx, err)
	}
	defer response.Close()
	info := d.s.o.Protocol.ReadResponse(response.Status, response.Header)
	d.observeResponse(&info, begun)
	if info.NotExecuted {
		return d.declined(response, info)
	}
	if !info.Sealed || info.ContentEncoded {
		return result{kind: outcomeBroken, err: &UnsealedError{Status: response.Status}}
	}
	if d.route.Kind == serving.Streaming && response.Status == http.StatusOK {
		return d.relayStream(ctx, response, begun)
	}
	if d.stream.begun {
		return result{kind: outcomeFailedResponse, err: &NotContinuedError{Status: response.Status}}
	}
	return d.relayWhole(ctx, response, begun)
}

func (d *delivery) send(ctx context.Context, begun time.Time) (*upstreamhttp.Response, error) {
	if err := d.connectError; err != nil {
		d.connectError = nil
		return nil, err
	}
	if c := d.connection; c != nil {
		d.connection = nil
		return d.s.client.SendOn(ctx, c, d.request(begun))
	}
	return d.s.client.Send(ctx, d.choice.VM.Address, d.request(begun))
}

// observeResponse takes what the upstream says of itself in the response to an attempt.
func (d *delivery) observeResponse(info *serving.ResponseInfo, begun time.Time) {
	d.endBypass(d.choice.VM.ID, true)
	leaving := d.s.clusterState.observeResponse(d.s.o.Now(), d.choice.VM, info)
	f := log.Fields{"request": d.info.ID, "vm": d.choice.VM.ID, "service": d.choice.VM.Service}
	if leaving {
		d.s.o.Logger.WithFields(f).Info("upstream is leaving")
		d.s.metrics.upstreamsLeaving.Inc(1)
	}
	if info.Pause > 0 {
		d.s.o.Logger.WithFields(f).WithField("pause_ms", ms(info.Pause)).Info("upstream wants no requests")
		d.s.metrics.upstreamPauses.Inc(1)
	}
	if !info.WrongVM && info.MalformedRequestLimit == "" {
		d.requestLimitNamed(info.RequestLimit, begun, f)
	}
	if info.MalformedRequestLimit != "" {
		d.s.o.Logger.WithFields(f).WithField("value", info.MalformedRequestLimit).Warn("malformed request limit of an upstream, ignored")
	}
	if info.MalformedSlowness != "" && d.s.clusterState.malformedSlowness(d.choice.VM) {
		value := info.MalformedSlowness[:min(maxLoggedValue, len(info.MalformedSlowness))]
		d.s.o.Logger.WithFields(f).WithField("value", value).Warn("malformed slowness of an upstream, ignored")
	}
	if info.MalformedPause != "" {
		d.s.o.Logger.WithFields(f).WithFields(log.Fields{"value": info.MalformedPause, "used_ms": ms(info.Pause)}).Warn("malformed or absurd pause of an upstream")
	}
}

// declined reads a response which states that the request has not run.
func (d *delivery) declined(response *upstreamhttp.Response, info serving.ResponseInfo) result {
	response.Skip()
	kind := outcomeNotRun
	if info.WrongVM {
		kind = outcomeOtherVM
	}
	return result{kind: kind, responder: info.VM, err: &DeclinedError{Status: response.Status}}
}

// request returns the caller's request in the form in which it is sent to the chosen
// VM.
func (d *delivery) request(now time.Time) *upstreamhttp.Request {
	h := forwardHeader(d.r.Header)
	a := serving.AttemptInfo{VM: d.choice.VM.ID, Remaining: d.deadline.Sub(now), Authenticated: d.authenticated, Tenant: d.tenantName(), Urgency: d.urgency()}
	if d.stream.begun {
		a.LastEventID = d.stream.lastID
	}
	d.s.o.Protocol.PrepareAttempt(h, a)
	return &upstreamhttp.Request{
		Method: d.r.Method, Target: d.r.RequestURI, Host: d.r.Host, Header: h, Body: d.body,
		HasBody: d.r.ContentLength != 0 || len(d.r.TransferEncoding) > 0,
		Matches: func(h http.Header) upstreamhttp.Match {
			switch d.s.o.Protocol.ReadResponse(0, h).RequestID {
			case d.info.ID:
				return upstreamhttp.MatchOwn
			case "":
				return upstreamhttp.MatchUnknown
			}
			return upstreamhttp.MatchOther
		},
	}
}

// failure classifies a failed exchange.
func (d *delivery) failure(ctx context.Context, err error) result {
	var dial *upstreamhttp.DialError
	switch {
	case d.r.Context().Err() != nil:
		return result{kind: outcomeCallerGone, err: err}
	case errors.As(err, &dial):
		return result{kind: outcomeNotSent, err: err}
	case d.s.forceStop.Err() != nil:
		return result{kind: outcomeBroken, err: &StoppingError{}}
	case ctx.Err() != nil:
		return result{kind: outcomeTimedOut, err: err}
	}
	return result{kind: outcomeBroken, err: err}
}
