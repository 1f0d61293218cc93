package ingress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/serving"
	"github.com/laureltally/laureltally/upstreamhttp"
)

// maxWholeBytes bounds the answers that are read whole before they are passed
// on; longer ones are passed on as they come.
const maxWholeBytes = 256 << 10

// attempt sends the request to the chosen VM and relays the answer.
func (d *delivery) attempt(ctx context.Context) result {
	begun := d.s.o.Now()
	vm, need := d.choice.VM.ID, d.need
	d.s.belief.started(begun, vm, need)
	d.s.metrics.attempts.Inc(1)
	res := d.exchange(ctx, begun)
	if res.kind != notSent {
		d.attempts++
	}
	took := time.Duration(0)
	if res.kind == delivered {
		took = res.took
		d.s.metrics.firstEvent.RecordDuration(res.firstEvent)
	}
	if res.kind == otherVM {
		d.notThere(vm, need.Model)
	}
	d.s.belief.ended(d.s.o.Now(), vm, need, took, !blames(res.kind))
	return res
}

// notThere notes that a VM is another one, or lacks the model.
func (d *delivery) notThere(vm ident.VM, model ident.Model) {
	d.s.belief.notThere(d.s.o.Now(), vm, model)
	d.s.o.Logger.WithFields(log.Fields{
		"request": d.info.ID, "vm": vm, "model": model, "report_ms": ms(d.choice.ReportAge), "agent": d.choice.AgentReachable,
	}).Info("vm does not serve what it was believed to")
}

// blames tells whether an end speaks against the VM.
func blames(k resultKind) bool { return k == notSent || k == broken || k == failedAnswer }

// exchange is the attempt's I/O.
func (d *delivery) exchange(ctx context.Context, begun time.Time) result {
	answer, err := d.s.client.Send(ctx, d.choice.VM.Address, d.request(begun))
	if err != nil {
		return d.failure(ctx, err)
	}
	defer answer.Close()
	info := d.s.o.Protocol.ReadResponse(answer.Status, answer.Header)
	if info.HasLoad {
		d.s.belief.load(d.s.o.Now(), d.choice.VM.ID, info.Load)
	}
	if info.NotExecuted {
		return d.declined(answer, info)
	}
	if !info.Sealed || info.ContentEncoded {
		return result{kind: broken, err: &UnsealedError{Status: answer.Status}}
	}
	if d.route.Kind == serving.Streaming && answer.Status == http.StatusOK {
		return d.relayStream(ctx, answer, begun)
	}
	return d.relayWhole(ctx, answer, begun)
}

// declined reads an answer that says that the request has not run.
func (d *delivery) declined(answer *upstreamhttp.Response, info serving.ResponseInfo) result {
	_, _ = io.Copy(io.Discard, io.LimitReader(answer, maxWholeBytes))
	kind := notRun
	if info.WrongVM {
		kind = otherVM
	}
	return result{kind: kind, err: &DeclinedError{Status: answer.Status}}
}

// request is the caller's request as it is sent to the chosen VM.
func (d *delivery) request(now time.Time) *upstreamhttp.Request {
	h := forwardHeader(d.r.Header)
	a := serving.AttemptInfo{VM: d.choice.VM.ID, Remaining: d.deadline.Sub(now)}
	if d.stream.begun {
		a.LastEventID = d.stream.lastID
	}
	d.s.o.Protocol.PrepareAttempt(h, a)
	return &upstreamhttp.Request{
		Method: d.r.Method, Target: d.r.RequestURI, Host: d.r.Host, Header: h, Body: d.body,
		HasBody: d.r.ContentLength != 0 || len(d.r.TransferEncoding) > 0,
		Matches: func(h http.Header) bool {
			id := d.s.o.Protocol.ReadResponse(0, h).RequestID
			return id == "" || id == d.info.ID
		},
	}
}

// failure tells what a failed exchange means.
func (d *delivery) failure(ctx context.Context, err error) result {
	var dial *upstreamhttp.DialError
	switch {
	case d.r.Context().Err() != nil:
		return result{kind: callerGone, err: err}
	case errors.As(err, &dial):
		return result{kind: notSent, err: err}
	case d.s.halt.Err() != nil:
		return result{kind: broken, err: &StoppingError{}}
	case ctx.Err() != nil:
		return result{kind: timedOut, err: err}
	}
	return result{kind: broken, err: err}
}
