package router

import (
	"context"
	"net/http"
	"time"

	"github.com/laureltally/laureltally/wire"
)

// serve gets the answer to a checked request and passes it to the caller.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, env *environment, req *Request, out sink) {
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	limit := time.AfterFunc(req.Deadline.Sub(s.o.Now()), func() { cancel(context.DeadlineExceeded) })
	defer limit.Stop()
	d := &delivery{s: s, env: env, req: req, out: out, limit: limit}
	start := s.o.Now()
	failure := d.run(ctx)
	s.logServed(req, failure, s.o.Now().Sub(start))
	if failure == nil {
		env.answered(s.o.Now())
		return
	}
	s.count(failure)
	if r.Context().Err() != nil {
		return
	}
	started := out.Started()
	out.Cut(failure)
	if whole, ok := out.(*wholeSink); ok && started && whole.cut {
		// The connection is broken off, since a part of the answer has been sent
		// and a clean end would make it look whole.
		panic(http.ErrAbortHandler)
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
		entry.Info("request answered")
		return
	}
	entry.WithField("code", f.Code).WithField("run", f.Run).Info("request not answered")
}

// gaveUp is the final answer when the context has ended.
func gaveUp(ctx context.Context, run wire.RunState) *Failure {
	if context.Cause(ctx) == context.DeadlineExceeded {
		return &Failure{Code: wire.CodeDeadline, Run: run, RetryAfter: time.Second, Detail: "the deadline has passed"}
	}
	return &Failure{Code: wire.CodeCanceled, Run: run, Detail: "the caller is gone"}
}
