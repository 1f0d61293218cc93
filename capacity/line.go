package main

// line is a least-squares fit of y = intercept + slope*x.
type line struct {
	slope     float64
	intercept float64
	// r2 is the coefficient of determination.
	r2 float64
}

// fit returns the least-squares line through the points. xs must contain at least
// two different values.
func fit(xs, ys []float64) line {
	mx, my := mean(xs), mean(ys)
	var sxx, sxy, syy float64
	for i := range xs {
		dx, dy := xs[i]-mx, ys[i]-my
		sxx += dx * dx
		sxy += dx * dy
		syy += dy * dy
	}
	l := line{slope: sxy / sxx, r2: 1}
	l.intercept = my - l.slope*mx
	if syy > 0 {
		l.r2 = sxy * sxy / (sxx * syy)
	}
	return l
}

// valueAt returns the value of the line at x.
func (l line) valueAt(x float64) float64 { return l.intercept + l.slope*x }

// xFor returns the x, at least zero, at which the line has the value y, or zero if
// the line does not rise.
func (l line) xFor(y float64) float64 {
	if l.slope <= 0 {
		return 0
	}
	return max(0, (y-l.intercept)/l.slope)
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}
