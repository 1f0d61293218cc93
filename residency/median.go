package residency

import "math"

// firstMedianStep is the relative change of the estimate for the first value.
const firstMedianStep = 0.4

// median estimates the median of positive values by steps that shrink with their number. Unlike
// a mean it is not moved by a minority of values that are far off. The first value replaces an
// assumed one.
type median struct {
	value float64
	n     int
	// step is the relative change of the estimate after many values.
	step float64
}

// add takes a value.
func (m *median) add(x float64) {
	if x <= 0 {
		return
	}
	m.n++
	if m.n == 1 {
		m.value = x
		return
	}
	step := max(m.step, firstMedianStep/float64(m.n))
	// The step is no longer than the distance.
	m.value *= math.Exp(max(-step, min(step, math.Log(x/m.value))))
}
