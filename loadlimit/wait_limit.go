package loadlimit

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// Defaults of WaitLimit.
const (
	DefaultResponseTimeout = 2 * time.Second
	DefaultMaxWait         = 30 * time.Second
)

// WaitLimit bounds how long a requester waits for the limiter before it loads
// without a permit.
type WaitLimit struct {
	// ResponseTimeout is how long a requester waits for any response of the
	// limiter. Zero means DefaultResponseTimeout.
	ResponseTimeout time.Duration
	// MaxWait is how long a requester waits for a permit while the limiter
	// responds. Zero means DefaultMaxWait.
	MaxWait time.Duration
}

// Until returns when the requester proceeds without a permit. responding
// reports whether the connection to the limiter responds. A requester that
// would miss its deadline proceeds earlier, at the latest time at which the
// load still fits. The random source adds up to half the limit, so that the
// requesters of a failed limiter do not all proceed at once.
func (l WaitLimit) Until(requestedAt, deadline time.Time, loadTime time.Duration, responding bool, r *rand.Rand) time.Time {
	l.ResponseTimeout = cmp.Or(l.ResponseTimeout, DefaultResponseTimeout)
	l.MaxWait = cmp.Or(l.MaxWait, DefaultMaxWait)
	bound := l.ResponseTimeout
	if responding {
		bound = l.MaxWait
	}
	until := requestedAt.Add(bound + time.Duration(r.Int64N(int64(bound)/2+1)))
	if deadline.IsZero() {
		return until
	}
	latestStart := deadline.Add(-loadTime)
	if latestStart.Before(until) {
		until = latestStart
	}
	if until.Before(requestedAt) {
		return requestedAt
	}
	return until
}
