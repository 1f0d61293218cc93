package main

// series is one quantity measured at several sizes.
type series struct {
	// What names the quantity with its unit, and By the size.
	What string
	By   string
	Xs   []float64
	Ys   []float64
	// At is the size to work out.
	At float64
	// Count is how many there are of CountOf, each of which brings the quantity
	// Rate times. Zero counts as one.
	Count   float64
	CountOf string
	Rate    float64
	// Budget bounds the whole value, or is zero if there is no budget.
	Budget float64
}

// measure fills the values by calling f at each size.
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

// value returns the whole value that the line gives at the size to work out.
func (s *series) value(l line) float64 {
	return l.at(s.At) * orOne(s.Count) * orOne(s.Rate)
}

// breaksAt returns the count at which the budget is used up, or the size if
// nothing is counted, and what is counted.
func (s *series) breaksAt(l line) (float64, string) {
	if s.CountOf == "" {
		return l.reaches(s.Budget / orOne(s.Rate)), s.By
	}
	return s.Budget / (l.at(s.At) * orOne(s.Rate)), s.CountOf
}

// verdict compares the whole value with the budget.
func (s *series) verdict(value float64) string {
	switch {
	case s.Budget == 0:
		return "-"
	case value <= s.Budget:
		return "within"
	default:
		return "over"
	}
}

func orOne(v float64) float64 {
	if v == 0 {
		return 1
	}
	return v
}
