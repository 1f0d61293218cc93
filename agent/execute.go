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
	"github.com/laureltally/laureltally/internal/responsehead"
	"github.com/laureltally/laureltally/response"
	"github.com/laureltally/laureltally/wire"
)

// Request headers to upstreams.
const (
	headerRequestID = "X-Request-Id"
	headerPriority  = "X-Priority"
)

// readBufferBytes is the size of the buffer for reads from the upstream.
const readBufferBytes = 16 << 10

// execute sends the attempt to the upstream and writes the response.
func (a *Agent) execute(ctx context.Context, mq *modelQueue, d *wire.Dispatch, w *response.Writer, deadline time.Time) admission.Result {
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
	deadlineTimer := time.AfterFunc(deadline.Sub(start), func() { cancel(context.DeadlineExceeded) })
	defer deadlineTimer.Stop()
	onData := sync.OnceFunc(func() {
		if d.Stream {
			deadlineTimer.Stop()
			mq.observeFirstToken(a.o.Now().Sub(start))
		}
	})
	durationTimer := time.AfterFunc(a.maxDuration(d), func() { cancel(context.DeadlineExceeded) })
	defer durationTimer.Stop()
	resp, err := a.send(ctx, d)
	if err != nil {
		a.handleNoResponse(ctx, d, w, err)
		return admission.Failed
	}
	defer func() { _ = resp.Body.Close() }()
	return a.copyResponse(ctx, d, w, resp, onData)
}

// maxDuration returns the time limit of the whole response. Only a stream may
// continue after the deadline.
func (a *Agent) maxDuration(d *wire.Dispatch) time.Duration {
	if d.Stream {
		return max(d.MaxDuration, d.Remaining)
	}
	return d.Remaining
}

func (a *Agent) send(ctx context.Context, d *wire.Dispatch) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, d.Method, a.o.Settings.UpstreamURL+d.Path, bytes.NewReader(d.Body))
	if err != nil {
		return nil, fmt.Errorf("create request: %w", err)
	}
	// With GetBody set, the HTTP client could repeat a request whose connection
	// broke.
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

// handleNoResponse ends an attempt that got no response. If no connection could
// be made, it has not run.
func (a *Agent) handleNoResponse(ctx context.Context, d *wire.Dispatch, w *response.Writer, err error) {
	r := wire.Refusal{
		Attempt:    d.Attempt,
		Code:       codeOf(ctx),
		Run:        wire.RunStateUnknown,
		RetryAfter: defaultRetryAfter,
		Detail:     "the upstream gave no answer",
	}
	a.mu.Lock()
	if dialFailed(err) && a.table.WithdrawUnsent(a.o.Now(), d.Attempt) {
		r.Run = wire.RunStateNotRun
	} else {
		a.table.Abort(a.o.Now(), d.Attempt)
	}
	a.mu.Unlock()
	a.o.Logger.WithError(err).WithField("request", d.Request).WithField("attempt", d.Attempt).WithField("run", r.Run).Warn("no response from upstream")
	_ = w.Refuse(r)
}

// dialFailed reports whether the request failed before it could be sent.
func dialFailed(err error) bool {
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

// copyResponse copies the upstream's response to w.
func (a *Agent) copyResponse(ctx context.Context, d *wire.Dispatch, w *response.Writer, resp *http.Response, onData func()) admission.Result {
	if a.rejectedByEngine(d, resp) {
		a.recordEnd(d, false)
		_ = w.Refuse(wire.Refusal{Attempt: d.Attempt, Code: wire.CodeUpstreamFailed, Run: wire.RunStateUnknown, RetryAfter: defaultRetryAfter, Detail: "the engine answered " + resp.Status})
		return admission.Rejected
	}
	err := w.Head(resp.StatusCode, resp.Header)
	if err == nil {
		err = copyBody(ctx, w, resp.Body, onData)
	}
	if err == nil {
		err = responsehead.CheckTrailer(resp)
	}
	marked := endMarked(d, resp)
	if err == nil && !marked {
		err = a.checkEnd(ctx, d)
	}
	if err != nil {
		a.recordEnd(d, false)
		a.o.Logger.WithError(err).WithField("request", d.Request).WithField("attempt", d.Attempt).Warn("response aborted")
		_ = w.Abort(codeOf(ctx), "the upstream's answer broke off")
		return admission.Failed
	}
	a.recordEnd(d, true)
	if !marked {
		_ = w.EndUnmarked()
		return admission.Succeeded
	}
	_ = w.End()
	return admission.Succeeded
}

// rejectedByEngine reports whether an engine rejected the request because of
// its load or because the model is not loaded. Responses of plain services are
// passed on unchanged.
func (a *Agent) rejectedByEngine(d *wire.Dispatch, resp *http.Response) bool {
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

func (a *Agent) recordEnd(d *wire.Dispatch, complete bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if complete {
		a.table.Finish(a.o.Now(), d.Attempt)
		return
	}
	a.table.Abort(a.o.Now(), d.Attempt)
}

// copyBody copies the body to w and calls onData for each part, before writing
// it.
func copyBody(ctx context.Context, w *response.Writer, body io.Reader, onData func()) error {
	buf := make([]byte, readBufferBytes)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			onData()
			if _, werr := w.Write(ctx, buf[:n]); werr != nil {
				return fmt.Errorf("store response: %w", werr)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read response: %w", err)
		}
	}
}
