package keepalive

// chanceOne is the fixed-point value of a chance of one.
const chanceOne = 1<<16 - 1

// chance is a running estimate of the chance of an event at each exposure, in 3
// bytes. Its memory is the last few dozen exposures.
type chance struct {
	value uint16
	seen  uint8
}

// update records one exposure.
func (c *chance) update(happened bool, memory uint8) {
	if c.seen < memory {
		c.seen++
	}
	target := 0
	if happened {
		target = chanceOne
	}
	c.value = uint16(int(c.value) + (target-int(c.value))/int(c.seen))
}

// blend returns the estimate, drawn towards prior as if prior had been seen
// weight times.
func (c chance) blend(prior, weight float64) float64 {
	n := float64(c.seen)
	own := float64(c.value) / chanceOne
	return (n*own + weight*prior) / (n + weight)
}
