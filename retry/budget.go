package retry

import "time"

// Budget limits extra attempts, retries and hedges, to a fraction of the
// successful requests. It is a token bucket and starts with one token.
type Budget struct {
	opts     BudgetOptions
	tokens   float64
	refilled time.Time
}

// NewBudget returns a Budget. It fails with an *OptionError.
func NewBudget(o BudgetOptions) (*Budget, error) {
	o = o.withDefaults()
	if err := o.validate(); err != nil {
		return nil, err
	}
	return &Budget{opts: o, tokens: 1}, nil
}

// Success records a complete response.
func (b *Budget) Success(now time.Time) {
	b.refill(now)
	b.addTokens(b.opts.Share)
}

// Take takes the token of one extra attempt and reports whether there was one.
func (b *Budget) Take(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Tokens returns how many extra attempts could be made now.
func (b *Budget) Tokens(now time.Time) float64 {
	b.refill(now)
	return b.tokens
}

// SetRefill changes MaxSaved and FloorPerSecond of the options.
func (b *Budget) SetRefill(now time.Time, maxSaved, floorPerSecond float64) {
	b.refill(now)
	b.opts.MaxSaved, b.opts.FloorPerSecond = maxSaved, floorPerSecond
	b.addTokens(0)
}

func (b *Budget) refill(now time.Time) {
	if b.refilled.IsZero() {
		b.refilled = now
	}
	if dt := now.Sub(b.refilled); dt > 0 {
		b.refilled = now
		b.addTokens(dt.Seconds() * b.opts.FloorPerSecond)
	}
}

func (b *Budget) addTokens(n float64) { b.tokens = min(b.opts.MaxSaved, b.tokens+n) }
