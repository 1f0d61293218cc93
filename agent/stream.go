package agent

import (
	"context"
	"errors"
	"io"

	"github.com/laureltally/laureltally/attempt"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/transport"
	"github.com/laureltally/laureltally/wire"
)

// handleStream handles one stream from a router.
func (a *Agent) handleStream(ctx context.Context, peer wire.Hello, first wire.Message, s *transport.Stream) {
	switch m := first.(type) {
	case *wire.Dispatch:
		a.handleDispatch(ctx, peer, m, s)
	case *wire.Resume:
		a.handleResume(ctx, m, s)
	case *wire.AttemptStatusRequest:
		a.handleStatusRequest(m, s)
	case *wire.Cancel:
		a.cancel(m.Attempt)
	case *wire.Prewarm:
		a.handlePrewarm(m)
	case *wire.Subscribe:
		a.reports.sendReports(ctx, s)
	default:
		a.o.Logger.WithField("kind", int(first.Kind())).Warn("unexpected message")
		s.Reset()
	}
}

// handleResume sends the response from an offset on. An attempt that was never
// seen is tombstoned before it is refused as not run, so that it cannot run
// later.
func (a *Agent) handleResume(ctx context.Context, m *wire.Resume, s *transport.Stream) {
	state := a.attemptState(m.Attempt, m.Incarnation)
	switch state {
	case wire.AttemptNotRun:
		_ = s.Send(&wire.Refusal{Attempt: m.Attempt, Code: wire.CodeUnknownAttempt, Run: wire.RunStateNotRun, RetryAfter: defaultRetryAfter, Detail: "the attempt never began"})
	case wire.AttemptUnknown:
		_ = s.Send(&wire.Refusal{Attempt: m.Attempt, Code: wire.CodeUpstreamLost, Run: wire.RunStateUnknown, Detail: "the agent no longer knows the attempt"})
	default:
		a.relay(ctx, m.Attempt, m.Offset, s)
	}
}

func (a *Agent) handleStatusRequest(m *wire.AttemptStatusRequest, s *transport.Stream) {
	_ = s.Send(&wire.AttemptStatus{Attempt: m.Attempt, State: a.attemptState(m.Attempt, m.Incarnation)})
}

func (a *Agent) attemptState(id ident.Attempt, incarnation ident.Incarnation) wire.AttemptState {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table.Inquire(a.o.Now(), id, incarnation)
}

// cancel stops an attempt whose caller has canceled.
func (a *Agent) cancel(id ident.Attempt) {
	a.mu.Lock()
	state := a.table.Cancel(a.o.Now(), id)
	stop := a.cancels[id]
	a.mu.Unlock()
	if stop != nil && state != attempt.Finished {
		stop()
	}
}

// handlePrewarm loads a model for expected requests.
func (a *Agent) handlePrewarm(m *wire.Prewarm) {
	if a.draining.Load() {
		return
	}
	mq, err := a.modelQueue(m.Model)
	if err != nil {
		return
	}
	a.ensureLoaded(mq, &wire.Dispatch{Model: m.Model, Priority: m.Priority})
}

// relay sends the response of an attempt from offset on, until its end.
func (a *Agent) relay(ctx context.Context, id ident.Attempt, offset int64, s *transport.Stream) {
	r, err := a.responses.Attach(id, offset)
	if err != nil {
		_ = s.Send(&wire.Abort{Attempt: id, Code: wire.CodeResponseExpired, Detail: err.Error()})
		return
	}
	defer r.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(s.Context(), cancel)
	defer stop()
	for {
		m, err := r.Next(ctx)
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			s.Reset()
			return
		}
		if err := s.Send(m); err != nil {
			return
		}
	}
}
