package residency

import "math"

const (
	// firstMedianStep and lastMedianStep are the relative changes of the estimate for the
	// first value and after many.
	firstMedianStep, lastMedianStep = 0.4, 0.04
)

// median estimates the median of positive values by steps that shrink with their number. Unlike
// a mean it is not moved by a minority of values that are far off. The first value replaces an
// assumed one.
type median struct {
	value float64
	n     int
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
	step := max(lastMedianStep, firstMedianStep/float64(m.n))
	// The step is no longer than the distance.
	m.value *= math.Exp(max(-step, min(step, math.Log(x/m.value))))
}
