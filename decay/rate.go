package decay

import (
	"math"
	"time"
)

// Rate is an exponentially decaying count of events per second. The zero value
// has counted nothing.
type Rate struct {
	value float64
	at    time.Time
}

// Add counts one event.
func (r *Rate) Add(now time.Time, halfLife time.Duration) {
	r.value = r.Get(now, halfLife) + math.Ln2/halfLife.Seconds()
	r.at = now
}

// Get is the rate as of now.
func (r *Rate) Get(now time.Time, halfLife time.Duration) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.value * math.Exp2(-max(0, now.Sub(r.at).Seconds())/halfLife.Seconds())
}

// Last is when the last event was counted, zero before the first.
func (r *Rate) Last() time.Time { return r.at }
