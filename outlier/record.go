package outlier

import (
	"math"
	"time"
)

// record is the history of one VM.
type record struct {
	phase       Phase
	until       time.Time
	rampFrom    time.Time
	ejections   int
	consecutive int
	requests    float64
	failures    float64
	last        time.Time
	probing     int
	passed      int
}

// count adds one result to the decaying window.
func (r *record) count(now time.Time, ok bool, window time.Duration) {
	if dt := now.Sub(r.last); dt > 0 {
		f := math.Exp(-dt.Seconds() / window.Seconds())
		r.requests *= f
		r.failures *= f
		r.last = now
	}
	r.requests++
	if ok {
		r.consecutive = 0
		return
	}
	r.failures++
	r.consecutive++
}

func (r *record) reset() {
	r.consecutive, r.requests, r.failures, r.probing, r.passed = 0, 0, 0, 0, 0
}
