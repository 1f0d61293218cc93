package agent

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/laureltally/laureltally/admission"
	"github.com/laureltally/laureltally/response"
	"github.com/laureltally/laureltally/wire"
)

// Headers towards upstreams.
const (
	headerRequestID = "X-Request-Id"
	headerPriority  = "X-Priority"
)

// readBytes is how much of an answer is read from the upstream at once.
const readBytes = 16 << 10

// execute sends the attempt to the upstream and writes the answer.
func (a *Agent) execute(ctx context.Context, l *lane, d *wire.Dispatch, w *response.Writer, deadline time.Time) admission.Result {
	a.mu.Lock()
	allowed := a.table.Begin(d.Attempt)
	a.mu.Unlock()
	if !allowed {
		a.refuse(d, w, &wire.Refusal{Code: wire.CodeTombstoned, Run: wire.RunStateNotRun, Detail: "the attempt was withdrawn"})
		return admission.Failed
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	start := a.o.Now()
	first := time.AfterFunc(deadline.Sub(start), func() { cancel(context.DeadlineExceeded) })
	defer first.Stop()
	begun := sync.OnceFunc(func() {
		if d.Stream {
			first.Stop()
			l.noteFirst(a.o.Now().Sub(start))
		}
	})
	whole := time.AfterFunc(a.longest(d), func() { cancel(context.DeadlineExceeded) })
	defer whole.Stop()
	resp, err := a.send(ctx, d)
	if err != nil {
		a.unanswered(ctx, d, w, err)
		return admission.Failed
	}
	defer func() { _ = resp.Body.Close() }()
	return a.copyAnswer(ctx, d, w, resp, begun)
}

// longest is how long the whole answer may take. Only that of a stream may go
// on after the deadline.
func (a *Agent) longest(d *wire.Dispatch) time.Duration {
	if d.Stream {
		return max(d.MaxDuration, d.Remaining)
	}
	return d.Remaining
}

func (a *Agent) send(ctx context.Context, d *wire.Dispatch) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, d.Method, a.o.Settings.UpstreamURL+d.Path, bytes.NewReader(d.Body))
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	// A body that can be read again would let the HTTP client repeat a request
	// whose connection broke.
	req.GetBody = nil
	for name, values := range d.Header {
		req.Header[name] = values
	}
	req.Header.Set(headerRequestID, d.Request)
	req.Header.Set(headerPriority, strconv.Itoa(int(d.Priority)))
	if d.NonIdempotent {
		return a.o.OnceHTTP.Do(req)
	}
	return a.o.HTTP.Do(req)
}

// unanswered ends an attempt that got no answer at all. If no connection could
// be made, it has not run.
func (a *Agent) unanswered(ctx context.Context, d *wire.Dispatch, w *response.Writer, err error) {
	r := wire.Refusal{
		Attempt:    d.Attempt,
		Code:       codeOf(ctx),
		Run:        wire.RunStateUnknown,
		RetryAfter: defaultRetryAfter,
		Detail:     "the upstream gave no answer",
	}
	a.mu.Lock()
	if neverConnected(err) && a.table.WithdrawUnsent(a.o.Now(), d.Attempt) {
		r.Run = wire.RunStateNotRun
	} else {
		a.table.Abort(a.o.Now(), d.Attempt)
	}
	a.mu.Unlock()
	a.o.Logger.WithError(err).WithField("request", d.Request).WithField("attempt", d.Attempt).WithField("run", r.Run).Warn("upstream gave no answer")
	_ = w.Refuse(r)
}

// neverConnected tells whether the request failed before it could be sent.
func neverConnected(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func codeOf(ctx context.Context) wire.Code {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, context.DeadlineExceeded):
		return wire.CodeDeadline
	case cause != nil:
		return wire.CodeCanceled
	default:
		return wire.CodeUpstreamFailed
	}
}

// copyAnswer writes the upstream's response into the answer.
func (a *Agent) copyAnswer(ctx context.Context, d *wire.Dispatch, w *response.Writer, resp *http.Response, begun func()) admission.Result {
	if a.turnedAway(d, resp) {
		a.finish(d, false)
		_ = w.Refuse(wire.Refusal{Attempt: d.Attempt, Code: wire.CodeUpstreamFailed, Run: wire.RunStateUnknown, RetryAfter: defaultRetryAfter, Detail: "the engine answered " + resp.Status})
		return admission.Rejected
	}
	err := w.Head(resp.StatusCode, resp.Header)
	if err == nil {
		err = copyBody(ctx, w, resp.Body, begun)
	}
	if err != nil {
		a.finish(d, false)
		a.o.Logger.WithError(err).WithField("request", d.Request).WithField("attempt", d.Attempt).Warn("answer cut")
		_ = w.Abort(codeOf(ctx), "the upstream's answer broke off")
		return admission.Failed
	}
	a.finish(d, true)
	_ = w.End()
	return admission.Succeeded
}

// turnedAway tells whether an engine refused the request because of its load or
// because the model is not there. A plain service's answers are passed on as
// they are.
func (a *Agent) turnedAway(d *wire.Dispatch, resp *http.Response) bool {
	if d.Model == "" {
		return false
	}
	switch resp.StatusCode {
	case http.StatusNotFound, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

func (a *Agent) finish(d *wire.Dispatch, whole bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if whole {
		a.table.Finish(a.o.Now(), d.Attempt)
		return
	}
	a.table.Abort(a.o.Now(), d.Attempt)
}

// copyBody copies the body into the answer and calls begun after each part.
func copyBody(ctx context.Context, w *response.Writer, body io.Reader, begun func()) error {
	buf := make([]byte, readBytes)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			begun()
			if _, werr := w.Write(ctx, buf[:n]); werr != nil {
				return fmt.Errorf("keep answer: %w", werr)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read answer: %w", err)
		}
	}
}
