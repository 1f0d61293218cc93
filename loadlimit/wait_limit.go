package loadlimit

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// Defaults of Patience.
const (
	DefaultResponseTimeout = 2 * time.Second
	DefaultMaxWait         = 30 * time.Second
)

// WaitLimit bounds how long an asker waits for the gate before it loads without
// a place.
type WaitLimit struct {
	// ResponseTimeout is how long a gate may say nothing at all. Zero means
	// DefaultResponseTimeout.
	ResponseTimeout time.Duration
	// MaxWait is how long a gate that answers may keep the asker waiting. Zero
	// means DefaultMaxWait.
	MaxWait time.Duration
}

// Until returns when the asker proceeds without a place. Alive tells whether
// the gate's connection answers. An asker whose deadline would be missed
// proceeds earlier, when just the load still fits. The random source spreads
// askers of a lost gate over half the time again.
func (p WaitLimit) Until(asked, deadline time.Time, load time.Duration, alive bool, r *rand.Rand) time.Time {
	p.ResponseTimeout = cmp.Or(p.ResponseTimeout, DefaultResponseTimeout)
	p.MaxWait = cmp.Or(p.MaxWait, DefaultMaxWait)
	bound := p.ResponseTimeout
	if alive {
		bound = p.MaxWait
	}
	until := asked.Add(bound + time.Duration(r.Int64N(int64(bound)/2+1)))
	if deadline.IsZero() {
		return until
	}
	last := deadline.Add(-load)
	if last.Before(until) {
		until = last
	}
	if until.Before(asked) {
		return asked
	}
	return until
}
