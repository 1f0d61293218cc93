package agent

import (
	"context"
	"time"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/response"
	"github.com/laureltally/laureltally/transport"
	"github.com/laureltally/laureltally/wire"
)

// handleDispatch accepts or refuses an attempt and sends its response. The
// attempt keeps running if the stream is lost: the router resumes on another.
func (a *Agent) handleDispatch(ctx context.Context, peer wire.Hello, d *wire.Dispatch, s *transport.Stream) {
	refusal := a.accept(d)
	if refusal != nil {
		a.logRefusal(peer, d, refusal)
		_ = s.Send(refusal)
		return
	}
	a.relay(ctx, d.Attempt, 0, s)
}

// accept starts an attempt, or returns the refusal.
func (a *Agent) accept(d *wire.Dispatch) *wire.Refusal {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.o.Now()
	decision := a.table.Dispatch(now, d.Attempt, d.Incarnation)
	if !decision.Accepted {
		return &decision.Refusal
	}
	if d.Environment != a.o.Settings.Environment {
		return a.withdrawLocked(now, d.Attempt, wire.CodeUnknownEnvironment, "the agent serves another environment")
	}
	if a.draining.Load() {
		return a.withdrawLocked(now, d.Attempt, wire.CodeDraining, "the upstream is leaving")
	}
	w, err := a.beginResponse(d)
	if err != nil {
		return a.withdrawLocked(now, d.Attempt, wire.CodeInternal, err.Error())
	}
	runCtx, cancel := context.WithCancel(a.workCtx)
	a.cancels[d.Attempt] = cancel
	a.running.Go(func() {
		defer a.removeCancel(d.Attempt, cancel)
		a.run(runCtx, d, w, now)
	})
	return nil
}

func (a *Agent) withdrawLocked(now time.Time, id ident.Attempt, code wire.Code, detail string) *wire.Refusal {
	a.table.Withdraw(now, id)
	return &wire.Refusal{Attempt: id, Code: code, Run: wire.RunStateNotRun, RetryAfter: defaultRetryAfter, Detail: detail}
}

// beginResponse starts the response. That of a claimed or non-idempotent
// attempt is retained for repeats of the request.
func (a *Agent) beginResponse(d *wire.Dispatch) (*response.Writer, error) {
	if d.IdempotencyKey == "" && !d.NonIdempotent {
		return a.responses.Begin(d.Attempt)
	}
	return a.responses.BeginRetained(d.Attempt, a.claimWindow())
}

// defaultClaimWindow applies until a document is loaded.
const defaultClaimWindow = time.Hour

func (a *Agent) claimWindow() time.Duration {
	c := a.catalog.Load()
	if c == nil {
		return defaultClaimWindow
	}
	return time.Duration(c.Document().Limits.KeyRetention)
}

func (a *Agent) removeCancel(id ident.Attempt, cancel context.CancelFunc) {
	cancel()
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.cancels, id)
}

func (a *Agent) logRefusal(peer wire.Hello, d *wire.Dispatch, r *wire.Refusal) {
	a.o.Metrics.Tagged(map[string]string{"code": string(r.Code)}).Counter("refused").Inc(1)
	a.o.Logger.WithField("request", d.Request).
		WithField("attempt", d.Attempt).
		WithField("router", peer.VM).
		WithField("code", r.Code).
		WithField("run", r.Run).
		Info("attempt refused")
}
