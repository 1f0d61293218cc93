package retry

import "time"

// Budget bounds extra attempts to a share of the successes. It starts with one
// attempt saved.
type Budget struct {
	opts  BudgetOptions
	saved float64
	last  time.Time
}

// NewBudget returns a Budget. It fails with an *OptionError.
func NewBudget(o BudgetOptions) (*Budget, error) {
	o = o.withDefaults()
	if err := o.validate(); err != nil {
		return nil, err
	}
	return &Budget{opts: o, saved: 1}, nil
}

// Success counts a whole answer.
func (b *Budget) Success(now time.Time) {
	b.refill(now)
	b.save(b.opts.Share)
}

// Take spends one extra attempt, if there is one.
func (b *Budget) Take(now time.Time) bool {
	b.refill(now)
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

// Saved is how many extra attempts could be taken now.
func (b *Budget) Saved(now time.Time) float64 {
	b.refill(now)
	return b.saved
}

func (b *Budget) refill(now time.Time) {
	if b.last.IsZero() {
		b.last = now
	}
	if dt := now.Sub(b.last); dt > 0 {
		b.last = now
		b.save(dt.Seconds() * b.opts.FloorPerSecond)
	}
}

func (b *Budget) save(n float64) { b.saved = min(b.opts.MaxSaved, b.saved+n) }
