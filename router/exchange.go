package router

import (
	"context"
	"fmt"
	"time"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/response"
	"github.com/laureltally/laureltally/transport"
	"github.com/laureltally/laureltally/wire"
)

const (
	// resumePause is the pause between tries to resume an answer.
	resumePause = 50 * time.Millisecond
	// repeatableResume is for how long an idempotent request that has shown the
	// caller nothing is resumed before another upstream is tried.
	repeatableResume = 3 * time.Second
	// maxStream bounds a stream after its first part.
	maxStream = 10 * time.Minute
)

// exchange is one attempt: the dispatch and, over as many connections as it
// takes, the answer.
type exchange struct {
	d       *delivery
	target  target
	attempt ident.Attempt
	claimed bool

	assembler *response.Assembler
}

// dispatch sends the attempt and passes its answer on.
func (x *exchange) dispatch(ctx context.Context) *Failure {
	x.assembler = response.NewAssembler(x.attempt)
	conn, err := x.d.s.pool.Get(ctx, x.target.vm, x.target.address)
	if err != nil {
		return x.notSent(ctx, err)
	}
	stream, err := conn.Open(ctx, x.message())
	if err != nil {
		// A part of the message may have arrived, so the agent has to say.
		return x.resume(ctx)
	}
	if failure, done := x.receive(ctx, stream); done {
		return failure
	}
	return x.resume(ctx)
}

// attach passes on the answer of an attempt that was dispatched before.
func (x *exchange) attach(ctx context.Context) *Failure {
	x.assembler = response.NewAssembler(x.attempt)
	return x.resume(ctx)
}

// notSent is the failure of an attempt that never left this router.
func (x *exchange) notSent(ctx context.Context, err error) *Failure {
	if ctx.Err() != nil {
		return gaveUp(ctx, wire.RunStateNotRun)
	}
	x.d.s.o.Logger.WithError(err).WithField("attempt", x.attempt).Info("attempt not sent")
	f := notRun(wire.CodeUpstreamLost, "the upstream cannot be reached")
	f.RetryAfter = noReplicaRetryAfter
	return f
}

func (x *exchange) message() *wire.Dispatch {
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
		MaxDuration:   maxStream,
	}
	if x.claimed {
		m.IdempotencyKey = req.Key
	}
	return m
}

// resume gets the rest of the answer over new connections. The agent's first
// word tells whether the attempt has begun at all; if not, it never will.
func (x *exchange) resume(ctx context.Context) *Failure {
	giveUp := x.giveUpTime()
	for {
		if ctx.Err() != nil {
			x.abandon()
			return gaveUp(ctx, wire.RunStateUnknown)
		}
		if x.d.s.o.Now().After(giveUp) || x.gone() {
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

// giveUpTime is when resuming ends even if the deadline is later.
func (x *exchange) giveUpTime() time.Time {
	if !x.d.req.NonIdempotent && !x.d.out.Started() {
		return x.d.s.o.Now().Add(repeatableResume)
	}
	return x.d.s.o.Now().Add(maxStream)
}

// gone tells whether the VM has left the platform's list.
func (x *exchange) gone() bool {
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

// receive takes messages until the attempt has ended, which makes done true, or
// the stream is lost.
func (x *exchange) receive(ctx context.Context, stream *transport.Stream) (failure *Failure, done bool) {
	defer stream.Reset()
	stop := context.AfterFunc(ctx, stream.Reset)
	defer stop()
	for {
		m, err := stream.Recv()
		if ctx.Err() != nil {
			x.abandon()
			return gaveUp(ctx, wire.RunStateUnknown), true
		}
		if err != nil {
			return nil, false
		}
		part, err := x.assembler.Accept(m)
		if err != nil {
			x.d.s.o.Logger.WithError(err).WithField("attempt", x.attempt).Warn("frame refused")
			return nil, false
		}
		if failure, done := x.pass(part); done {
			return failure, true
		}
	}
}

// pass hands a part of the answer to the caller.
func (x *exchange) pass(p response.Part) (failure *Failure, done bool) {
	switch {
	case p.Refusal != nil:
		r := p.Refusal
		return &Failure{Code: r.Code, Run: r.Run, RetryAfter: r.RetryAfter, Detail: r.Detail}, true
	case p.Abort != nil:
		return &Failure{Code: p.Abort.Code, Run: wire.RunStateUnknown, RetryAfter: noReplicaRetryAfter, Detail: p.Abort.Detail}, true
	case p.Head != nil:
		x.d.out.Head(p.Head.Status, p.Head.Header)
	case len(p.Data) > 0:
		return x.passData(p.Data)
	case p.Complete:
		if err := x.d.out.Finish(); err != nil {
			return callerGone(err), true
		}
		return nil, true
	}
	return nil, false
}

func (x *exchange) passData(data []byte) (*Failure, bool) {
	if x.d.req.Stream {
		x.d.limit.Reset(maxStream)
	}
	if err := x.d.out.Write(data); err != nil {
		x.abandon()
		return callerGone(err), true
	}
	return nil, false
}

func callerGone(err error) *Failure {
	return &Failure{Code: wire.CodeCanceled, Run: wire.RunStateUnknown, Detail: fmt.Sprint(err)}
}

// abandon tells the agent that nobody waits for the answer. A claimed attempt
// goes on: the caller may come back for it.
func (x *exchange) abandon() {
	if x.claimed || x.d.req.NonIdempotent {
		return
	}
	x.d.s.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), wakeTimeout)
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
