package residency

import (
	"math"
	"time"
)

// rate is an exponentially decaying count of events per second.
type rate struct {
	value float64
	at    time.Time
}

// add counts one event.
func (r *rate) add(now time.Time, halfLife time.Duration) {
	r.value = r.get(now, halfLife) + math.Ln2/halfLife.Seconds()
	r.at = now
}

// get is the rate as of now.
func (r *rate) get(now time.Time, halfLife time.Duration) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.value * math.Exp2(-now.Sub(r.at).Seconds()/halfLife.Seconds())
}
