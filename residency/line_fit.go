package residency

// lineFit fits a line to points, of which newer ones weigh more.
type lineFit struct {
	n                      int
	meanX, meanY, varX, co float64
}

func (f *lineFit) add(x, y float64) {
	f.n++
	w := max(sampleWeight, 1/float64(f.n))
	dx, dy := x-f.meanX, y-f.meanY
	f.meanX += w * dx
	f.meanY += w * dy
	f.varX = (1 - w) * (f.varX + w*dx*dx)
	f.co = (1 - w) * (f.co + w*dx*dy)
}

// slope returns the slope, or zero unless the line rises.
func (f *lineFit) slope() float64 {
	if f.varX <= 0 || f.co <= 0 {
		return 0
	}
	return f.co / f.varX
}
