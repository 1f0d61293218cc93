package main

// series is one quantity measured at several sizes.
type series struct {
	// Quantity names what is measured, with its unit; SizeName names the size.
	Quantity string
	SizeName string
	Xs       []float64
	Ys       []float64
	// TargetSize is the size at which the line is evaluated.
	TargetSize float64
	// Count is the number of CountOf (such as routers), and Rate the number of times
	// a second that each of them adds the quantity. Zero is treated as one.
	Count   float64
	CountOf string
	Rate    float64
	// Budget is the limit of the total, or zero if there is none.
	Budget float64
}

// measure appends the value of f at each size.
func (s *series) measure(f func(n int) (float64, error)) error {
	for _, x := range s.Xs {
		y, err := f(int(x))
		if err != nil {
			return err
		}
		s.Ys = append(s.Ys, y)
	}
	return nil
}

// total returns the value of the line at the target size times count and rate.
func (s *series) total(l line) float64 {
	return l.valueAt(s.TargetSize) * oneIfZero(s.Count) * oneIfZero(s.Rate)
}

// budgetReachedAt returns the count at which the total reaches the budget, and the
// name of what is counted. Without a count it returns the size at which the total
// reaches the budget, and the name of the size.
func (s *series) budgetReachedAt(l line) (float64, string) {
	if s.CountOf == "" {
		return l.xFor(s.Budget / oneIfZero(s.Rate)), s.SizeName
	}
	return s.Budget / (l.valueAt(s.TargetSize) * oneIfZero(s.Rate)), s.CountOf
}

// verdict compares the total with the budget.
func (s *series) verdict(total float64) string {
	switch {
	case s.Budget == 0:
		return "-"
	case total <= s.Budget:
		return "within"
	default:
		return "over"
	}
}

func oneIfZero(v float64) float64 {
	if v == 0 {
		return 1
	}
	return v
}
