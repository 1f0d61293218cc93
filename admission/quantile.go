package admission

// Parameters of a quantile.
const (
	quantileStep = 0.05
	quantileMin  = 1
	quantileMax  = 4
)

// quantile estimates a high quantile of relative run times by stochastic
// approximation.
type quantile struct {
	q     float64
	value float64
}

func newQuantile(q, initial float64) quantile { return quantile{q: q, value: initial} }

func (x *quantile) observe(v float64) {
	if v > x.value {
		x.value += quantileStep * x.q
	} else {
		x.value -= quantileStep * (1 - x.q)
	}
	x.value = min(quantileMax, max(quantileMin, x.value))
}
