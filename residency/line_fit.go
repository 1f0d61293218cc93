package residency

// lineFit is a linear regression over points, with exponentially decaying weights.
type lineFit struct {
	n                       int
	meanX, meanY, varX, cov float64
}

func (f *lineFit) add(x, y float64) {
	f.n++
	weight := max(sampleWeight, 1/float64(f.n))
	dx, dy := x-f.meanX, y-f.meanY
	f.meanX += weight * dx
	f.meanY += weight * dy
	f.varX = (1 - weight) * (f.varX + weight*dx*dx)
	f.cov = (1 - weight) * (f.cov + weight*dx*dy)
}

// slope returns the slope of the line, or zero if it is not positive.
func (f *lineFit) slope() float64 {
	if f.varX <= 0 || f.cov <= 0 {
		return 0
	}
	return f.cov / f.varX
}
