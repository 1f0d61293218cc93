package decay

import (
	"math"
	"time"
)

// Rate is an exponentially decaying rate of events per second. The zero value
// has counted no events.
type Rate struct {
	perSecond float64
	updated   time.Time
}

// Add counts one event.
func (r *Rate) Add(now time.Time, halfLife time.Duration) {
	r.perSecond = r.Get(now, halfLife) + math.Ln2/halfLife.Seconds()
	r.updated = now
}

// Get returns the rate at now.
func (r *Rate) Get(now time.Time, halfLife time.Duration) float64 {
	if r.updated.IsZero() {
		return 0
	}
	return r.perSecond * math.Exp2(-max(0, now.Sub(r.updated).Seconds())/halfLife.Seconds())
}

// Last returns when the last event was counted, or the zero time if there was
// none.
func (r *Rate) Last() time.Time { return r.updated }
