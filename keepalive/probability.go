package keepalive

// probabilityOne is the fixed-point value of a probability of one.
const probabilityOne = 1<<16 - 1

// probability is a running estimate of the probability of an event per
// exposure, in 3 bytes. It covers about the last maxExposures exposures.
type probability struct {
	value     uint16
	exposures uint8
}

// update records one exposure.
func (p *probability) update(happened bool, maxExposures uint8) {
	if p.exposures < maxExposures {
		p.exposures++
	}
	target := 0
	if happened {
		target = probabilityOne
	}
	p.value = uint16(int(p.value) + (target-int(p.value))/int(p.exposures))
}

// blend returns the estimate combined with prior, which counts as weight
// exposures.
func (p probability) blend(prior, weight float64) float64 {
	n := float64(p.exposures)
	own := float64(p.value) / probabilityOne
	return (n*own + weight*prior) / (n + weight)
}
