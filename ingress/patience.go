package ingress

import (
	"time"

	"github.com/laureltally/laureltally/placement"
	"github.com/laureltally/laureltally/serving"
)

const (
	// queueShare is the part of the time to the objective that a request may queue
	// for a VM that has its model loaded; the rest is for reading the prompt.
	queueShare = 0.6
	// loadShare is the part of the time to the deadline that a request may wait for
	// a load; the rest is for the answer.
	loadShare = 0.5
	// firstEventShare is the part of a caller's patience for the first event that a
	// request may wait for its place; the rest is for reading the prompt.
	firstEventShare = 0.8
)

// patience is how long a request waits for its place at a VM. It answers bursts
// for models that are not loaded: a request waits for a load if its caller will
// still be there, and is refused early otherwise, while coming back is of use.
func patience(now, start, deadline time.Time, r *serving.Route, ready placement.Readiness) time.Duration {
	wait := time.Duration(loadShare * float64(deadline.Sub(now)))
	if r.EventTimeout > 0 {
		wait = min(wait, start.Add(time.Duration(firstEventShare*float64(r.EventTimeout))).Sub(now))
	}
	if ready == placement.Loaded {
		wait = min(wait, time.Duration(queueShare*float64(start.Add(r.Objective).Sub(now))))
	}
	return max(0, wait)
}
