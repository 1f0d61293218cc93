package residency

import "math"

// firstStep is the relative change of a median for the first value.
const firstStep = 0.4

// quantile estimates a quantile of positive values by steps that shrink with their number.
// Unlike a mean it is not moved by a minority of values that are far off. The first value
// replaces an assumed one.
type quantile struct {
	value float64
	n     int
	// below is the share of values below the estimate, and step the relative change of a median
	// after many values.
	below, step float64
}

// add takes a value.
func (q *quantile) add(x float64) {
	if x <= 0 {
		return
	}
	q.n++
	if q.n == 1 {
		q.value = x
		return
	}
	step := max(q.step, firstStep/float64(q.n))
	up, down := 2*q.below*step, 2*(1-q.below)*step
	// A step is no longer than the distance.
	q.value *= math.Exp(max(-down, min(up, math.Log(x/q.value))))
}
