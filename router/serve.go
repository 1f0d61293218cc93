package router

import (
	"context"
	"net/http"
	"time"

	"github.com/laureltally/laureltally/wire"
)

// serve handles a validated request and sends the response to the caller.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, env *environment, req *Request, out sink) {
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	deadlineTimer := time.AfterFunc(req.Deadline.Sub(s.o.Now()), func() { cancel(context.DeadlineExceeded) })
	defer deadlineTimer.Stop()
	d := &delivery{s: s, env: env, req: req, out: out, deadlineTimer: deadlineTimer}
	start := s.o.Now()
	failure := d.run(ctx)
	s.logServed(req, failure, s.o.Now().Sub(start))
	if failure == nil {
		env.recordSuccess(s.o.Now())
		return
	}
	s.count(failure)
	if r.Context().Err() != nil {
		// The caller may have closed only its sending half and read on; the response of a
		// handler that returns is complete.
		abort(w, r)
		return
	}
	started := out.Started()
	out.Abort(failure)
	if buffered, ok := out.(*bufferedSink); ok && started && buffered.aborted {
		// The connection is aborted, since a part of the response has been sent and
		// a clean end would make it look complete.
		abort(w, r)
	}
}

func (s *Server) logServed(req *Request, f *Failure, took time.Duration) {
	s.o.Metrics.Timer("request").Record(took)
	entry := s.o.Logger.WithField("request", req.ID).
		WithField("environment", req.Environment).
		WithField("caller", req.Caller).
		WithField("upstream", req.Upstream).
		WithField("ms", took.Milliseconds())
	if f == nil {
		entry.Info("request completed")
		return
	}
	entry.WithField("code", f.Code).WithField("run", f.Run).Info("request failed")
}

// contextFailure returns the failure of a request whose context has ended.
func contextFailure(ctx context.Context, run wire.RunState) *Failure {
	if context.Cause(ctx) == context.DeadlineExceeded {
		return &Failure{Code: wire.CodeDeadline, Run: run, RetryAfter: time.Second, Detail: "the deadline has passed"}
	}
	return &Failure{Code: wire.CodeCanceled, Run: run, Detail: "the caller is gone"}
}
