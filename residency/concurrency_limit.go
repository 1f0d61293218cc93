package residency

import "time"

const (
	// decreaseFactor and increaseStep are the parameters of additive increase and
	// multiplicative decrease: the limit halves after about seven decreases and grows
	// by one with every two timely responses.
	decreaseFactor = 0.9
	increaseStep   = 0.5
	// startStep is the increase for a timely response until the first decrease: the
	// limit doubles within the time of one request.
	startStep = 1
	// decreaseInterval is the minimum time between two decreases: responses that ran
	// concurrently are evidence of the same overload.
	decreaseInterval = 500 * time.Millisecond
	// decreaseLoadShare is the fraction of the limit that must be in use for a late
	// response to lower it: with fewer requests the delay has another cause.
	decreaseLoadShare = 0.5
	// increaseLoadShare is the fraction of the limit that must be in use for a timely
	// response to raise it: with fewer requests the response does not show that the
	// engine could run more of them in time.
	increaseLoadShare = 0.8
)

// concurrencyLimit is the number of requests that the engine runs concurrently while
// meeting their objectives. It guards against sustained overload, where each
// additional request slows down all others.
type concurrencyLimit struct {
	value, minValue, maxValue float64
	// decreasedAt is when the limit was last lowered, or zero.
	decreasedAt time.Time
}

// setBounds replaces the bounds. A higher maximum is reached by timely responses.
func (l *concurrencyLimit) setBounds(minValue, maxValue float64) {
	l.minValue, l.maxValue = minValue, maxValue
	l.value = max(minValue, min(maxValue, l.value))
}

// observe adjusts the limit to the outcome of a request; active is the number of
// requests running at its end, itself included.
func (l *concurrencyLimit) observe(now time.Time, r *Request, o Outcome, active int) {
	if o.TimeToFirstEvent == 0 {
		return
	}
	slow := r.MaxEventGap > 0 && o.LongestEventGap > r.MaxEventGap || r.Objective > 0 && o.TimeToFirstEvent > r.Objective
	switch {
	case slow && now.Sub(l.decreasedAt) >= decreaseInterval && float64(active) >= decreaseLoadShare*l.value:
		l.value = max(l.minValue, l.value*decreaseFactor)
		l.decreasedAt = now
	case !slow && float64(active) >= increaseLoadShare*l.value:
		step := increaseStep
		if l.decreasedAt.IsZero() {
			step = startStep
		}
		l.value = min(l.maxValue, l.value+step)
	}
}
