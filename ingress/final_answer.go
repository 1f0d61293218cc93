package ingress

import (
	"net/http"
	"time"

	"github.com/apex/log"
)

func reason(res result) string {
	if res.err != nil {
		return string(res.kind) + ": " + res.err.Error()
	}
	return string(res.kind)
}

// finish gives the caller an answer of the system's own.
func (d *delivery) finish(st step, status int, why string, retryAfter time.Duration) {
	d.log(st, status, log.Fields{"reason": why, "retry_after_ms": ms(retryAfter)})
	if st == cut {
		panic(http.ErrAbortHandler)
	}
	if status == http.StatusServiceUnavailable {
		d.w.Header().Set("Retry-After", d.s.o.Protocol.RetryAfter(d.comeBack(retryAfter)))
		d.s.metrics.request("refused")
	}
	d.w.Header().Set("Content-Length", "0")
	d.w.WriteHeader(status)
}

// comeBack bounds a pause to what callers honour.
func (d *delivery) comeBack(after time.Duration) time.Duration {
	if d.deadline.IsZero() {
		return max(after, minRetryAfter)
	}
	return boundPause(after, d.deadline.Sub(d.s.o.Now()))
}

// boundPause bounds a pause for a caller that has left time. It answers refusals
// at the very deadline, which must not bring all callers back at once.
func boundPause(after, left time.Duration) time.Duration {
	return max(minRetryAfter, min(after, time.Duration(retryShare*float64(left))))
}

// note logs a turn within a request.
func (d *delivery) note(what string, err error) {
	l := d.s.o.Logger.WithFields(log.Fields{"request": d.info.ID, "vm": d.choice.VM.ID, "attempt": d.attempts})
	if err != nil {
		l = l.WithError(err)
	}
	l.Info(what)
}

// log writes the final line of a request.
func (d *delivery) log(st step, status int, more log.Fields) {
	now := d.s.o.Now()
	f := log.Fields{
		"request": d.info.ID, "step": st, "status": status, "attempts": d.attempts,
		"elapsed_ms": ms(now.Sub(d.start)), "config_age_ms": ms(d.s.configAge(now)),
	}
	if d.snap != nil {
		f["config"] = d.snap.Config.Revision
	}
	if d.route != nil {
		f["route"], f["service"] = d.route.Name, d.need.Service
	}
	if d.need.Model != "" {
		f["model"], f["adapter"] = d.need.Model, d.need.Adapter
	}
	if d.choice.VM != nil {
		f["vm"], f["readiness"], f["report_ms"] = d.choice.VM.ID, d.choice.Readiness, ms(d.choice.ReportAge)
		f["expected_ms"], f["waited_ms"] = ms(d.choice.Wait), ms(d.waited)
	}
	for k, v := range more {
		f[k] = v
	}
	d.s.o.Logger.WithFields(f).Info("request ended")
}

func ms(t time.Duration) int64 { return t.Milliseconds() }
