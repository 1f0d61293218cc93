package admission

import (
	"math"
	"time"
)

// rateWindow is the time constant of a decayingRate.
const rateWindow = 5 * time.Second

// decayingRate is an exponentially decaying rate of a quantity with the time
// constant rateWindow.
type decayingRate struct {
	sum  float64
	last time.Time
}

func (r *decayingRate) add(now time.Time, amount float64) {
	r.decay(now)
	r.sum += amount
}

// perSecond returns the rate at now.
func (r *decayingRate) perSecond(now time.Time) float64 {
	r.decay(now)
	return r.sum / rateWindow.Seconds()
}

func (r *decayingRate) decay(now time.Time) {
	if dt := now.Sub(r.last); dt > 0 {
		r.sum *= math.Exp(-dt.Seconds() / rateWindow.Seconds())
		r.last = now
	}
}
