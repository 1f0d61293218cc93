package ingress

import (
	"time"

	"github.com/laureltally/laureltally/placement"
	"github.com/laureltally/laureltally/serving"
)

const (
	// queueShare is the fraction of the time to the objective that a request may be
	// queued for a VM that has its model loaded; the rest is for the prefill.
	queueShare = 0.6
	// loadShare is the fraction of the time to the deadline that a request may wait
	// for a load; the rest is for the response.
	loadShare = 0.5
	// resumedShare is the same fraction for a request that resumes a stream: only the rest
	// of the response is left, and only VMs with the stream's software version can send it.
	resumedShare = 0.8
	// firstEventShare is the fraction of a caller's timeout for the first event that
	// a request may wait for its reservation; the rest is for the prefill.
	firstEventShare = 0.8
)

// maxWait returns how long a request may wait for a reservation at a VM. In bursts
// for models that are not loaded, a request waits for the load if its caller will
// still be connected, and is refused early otherwise, while a retry is still useful.
func maxWait(now, start, deadline time.Time, r *serving.Route, readiness placement.Readiness, resumed bool) time.Duration {
	share := loadShare
	if resumed {
		share = resumedShare
	}
	wait := fraction(share, deadline.Sub(now))
	if r.EventTimeout > 0 {
		wait = min(wait, start.Add(fraction(firstEventShare, r.EventTimeout)).Sub(now))
	}
	if readiness == placement.Loaded && !resumed {
		wait = min(wait, fraction(queueShare, start.Add(r.Objective).Sub(now)))
	}
	return max(0, wait)
}
