package router

import (
	"context"
	"fmt"
	"time"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/internal/responsehead"
	"github.com/laureltally/laureltally/response"
	"github.com/laureltally/laureltally/transport"
	"github.com/laureltally/laureltally/wire"
)

const (
	// resumePause is the pause between attempts to resume a response.
	resumePause = 50 * time.Millisecond
	// idempotentResumeTimeout limits the resuming of an idempotent request if the caller
	// has received nothing of the response. After that, another VM is tried.
	idempotentResumeTimeout = 3 * time.Second
	// maxStreamDuration limits the duration of an attempt at the agent, the time for
	// resuming a response, and the pause after each part of a stream.
	maxStreamDuration = 10 * time.Minute
)

// exchange is one attempt: the dispatch and the response, which may be resumed over
// several connections.
type exchange struct {
	d       *delivery
	target  target
	attempt ident.Attempt
	claimed bool

	assembler *response.Assembler
}

// dispatch sends the attempt and forwards its response.
func (x *exchange) dispatch(ctx context.Context) *Failure {
	x.assembler = response.NewAssembler(x.attempt)
	conn, err := x.d.s.pool.Get(ctx, x.target.vm, x.target.address)
	if err != nil {
		return x.notSent(ctx, err)
	}
	stream, err := conn.Open(ctx, x.dispatchMessage())
	if err != nil {
		// A part of the message may have arrived: resume asks the agent for the state.
		return x.resume(ctx)
	}
	if failure, done := x.receive(ctx, stream); done {
		return failure
	}
	return x.resume(ctx)
}

// attach forwards the response of an attempt that was dispatched earlier.
func (x *exchange) attach(ctx context.Context) *Failure {
	x.assembler = response.NewAssembler(x.attempt)
	return x.resume(ctx)
}

// notSent returns the failure of an attempt that was not sent.
func (x *exchange) notSent(ctx context.Context, err error) *Failure {
	if ctx.Err() != nil {
		return contextFailure(ctx, wire.RunStateNotRun)
	}
	x.d.s.o.Logger.WithError(err).WithField("attempt", x.attempt).Info("attempt not sent")
	f := notRun(wire.CodeUpstreamLost, "the upstream cannot be reached")
	f.RetryAfter = noReplicaRetryAfter
	return f
}

func (x *exchange) dispatchMessage() *wire.Dispatch {
	req := x.d.req
	now := x.d.s.o.Now()
	m := &wire.Dispatch{
		Attempt:       x.attempt,
		Incarnation:   x.target.incarnation,
		Request:       req.ID,
		Environment:   req.Environment,
		Model:         req.Target.Model.Name,
		Adapter:       req.Target.Adapter,
		Service:       req.Service,
		Method:        req.Method,
		Path:          req.Path,
		Header:        req.Header,
		Body:          req.Body,
		Priority:      req.Priority,
		Remaining:     req.Deadline.Sub(now),
		NonIdempotent: req.NonIdempotent,
		Region:        x.d.s.o.Settings.Region,
		Stream:        req.Stream,
		MaxDuration:   maxStreamDuration,
	}
	if x.claimed {
		m.IdempotencyKey = req.Key
	}
	return m
}

// resume receives the rest of the response over new connections. If the agent has not
// started the attempt, it replies with a Refusal and never runs it.
func (x *exchange) resume(ctx context.Context) *Failure {
	deadline := x.resumeDeadline()
	for {
		if ctx.Err() != nil {
			x.cancelAttempt()
			return contextFailure(ctx, wire.RunStateUnknown)
		}
		if x.d.s.o.Now().After(deadline) || x.vmRemoved() {
			return &Failure{Code: wire.CodeUpstreamLost, Run: wire.RunStateUnknown, RetryAfter: noReplicaRetryAfter, Detail: "the upstream was lost before its answer was whole"}
		}
		stream, err := x.reopen(ctx)
		if err == nil {
			if failure, done := x.receive(ctx, stream); done {
				return failure
			}
		}
		pause(ctx, resumePause)
	}
}

// resumeDeadline returns the time at which resuming ends even if the deadline is later.
func (x *exchange) resumeDeadline() time.Time {
	if !x.d.req.NonIdempotent && !x.d.out.Started() {
		return x.d.s.o.Now().Add(idempotentResumeTimeout)
	}
	return x.d.s.o.Now().Add(maxStreamDuration)
}

// vmRemoved reports whether the platform no longer lists the VM.
func (x *exchange) vmRemoved() bool {
	_, listed := x.d.s.fleet.find(x.target.vm)
	return !listed
}

func (x *exchange) reopen(ctx context.Context) (*transport.Stream, error) {
	conn, err := x.d.s.pool.Get(ctx, x.target.vm, x.target.address)
	if err != nil {
		return nil, err
	}
	x.d.s.o.Metrics.Counter("resumes").Inc(1)
	return conn.Open(ctx, &wire.Resume{Attempt: x.attempt, Incarnation: x.target.incarnation, Offset: x.assembler.Offset()})
}

// receive forwards messages until the attempt has ended, which sets done, or the stream
// is lost.
func (x *exchange) receive(ctx context.Context, stream *transport.Stream) (failure *Failure, done bool) {
	defer stream.Reset()
	stop := context.AfterFunc(ctx, stream.Reset)
	defer stop()
	for {
		m, err := stream.Recv()
		if ctx.Err() != nil {
			x.cancelAttempt()
			return contextFailure(ctx, wire.RunStateUnknown), true
		}
		if err != nil {
			return nil, false
		}
		part, err := x.assembler.Accept(m)
		if err != nil {
			x.d.s.o.Logger.WithError(err).WithField("attempt", x.attempt).Warn("frame refused")
			return nil, false
		}
		if failure, done := x.forward(part); done {
			return failure, true
		}
	}
}

// forward sends a part of the response to the caller.
func (x *exchange) forward(p response.Part) (failure *Failure, done bool) {
	switch {
	case p.Refusal != nil:
		r := p.Refusal
		return &Failure{Code: r.Code, Run: r.Run, RetryAfter: r.RetryAfter, Detail: r.Detail}, true
	case p.Abort != nil:
		return &Failure{Code: p.Abort.Code, Run: wire.RunStateUnknown, RetryAfter: noReplicaRetryAfter, Detail: p.Abort.Detail}, true
	case p.Head != nil:
		return x.forwardHead(p.Head)
	case len(p.Data) > 0:
		return x.forwardData(p.Data)
	case p.Complete:
		finish := x.d.out.Finish
		if p.Unmarked {
			finish = x.d.out.FinishUnmarked
		}
		if err := finish(); err != nil {
			return callerDisconnected(err), true
		}
		return nil, true
	}
	return nil, false
}

// forwardHead begins the response to the caller. An agent refuses malformed heads of its upstream, one of
// an earlier version does not.
func (x *exchange) forwardHead(h *wire.Head) (*Failure, bool) {
	if err := responsehead.Check(h.Status, h.Header); err != nil {
		x.cancelAttempt()
		return &Failure{Code: wire.CodeUpstreamFailed, Run: wire.RunStateUnknown, RetryAfter: noReplicaRetryAfter, Detail: err.Error()}, true
	}
	x.d.out.Head(h.Status, h.Header)
	return nil, false
}

func (x *exchange) forwardData(data []byte) (*Failure, bool) {
	if x.d.req.Stream {
		x.d.deadlineTimer.Reset(maxStreamDuration)
	}
	if err := x.d.out.Write(data); err != nil {
		x.cancelAttempt()
		return callerDisconnected(err), true
	}
	return nil, false
}

func callerDisconnected(err error) *Failure {
	return &Failure{Code: wire.CodeCanceled, Run: wire.RunStateUnknown, Detail: fmt.Sprint(err)}
}

// cancelAttempt asks the agent to cancel the attempt. Claimed and non-idempotent attempts
// continue: the caller may request their response again.
func (x *exchange) cancelAttempt() {
	if x.claimed || x.d.req.NonIdempotent {
		return
	}
	x.d.s.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
		defer cancel()
		conn, err := x.d.s.pool.Get(ctx, x.target.vm, x.target.address)
		if err != nil {
			return
		}
		stream, err := conn.Open(ctx, &wire.Cancel{Attempt: x.attempt})
		if err != nil {
			return
		}
		_ = stream.CloseSend()
	})
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
