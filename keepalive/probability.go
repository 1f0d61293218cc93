package keepalive

// probabilityOne is the fixed-point value of a probability of one.
const probabilityOne = 1<<16 - 1

// probability is a running estimate of the probability of an event per
// exposure, in 3 bytes. It weights about the last maxExposures exposures.
type probability struct {
	value     uint16
	exposures uint8
}

// update records one exposure.
func (c *probability) update(happened bool, maxExposures uint8) {
	if c.exposures < maxExposures {
		c.exposures++
	}
	target := 0
	if happened {
		target = probabilityOne
	}
	c.value = uint16(int(c.value) + (target-int(c.value))/int(c.exposures))
}

// blend returns the estimate combined with prior, which counts as weight
// exposures.
func (c probability) blend(prior, weight float64) float64 {
	n := float64(c.exposures)
	own := float64(c.value) / probabilityOne
	return (n*own + weight*prior) / (n + weight)
}
