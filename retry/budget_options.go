package retry

// Defaults of BudgetOptions.
const (
	DefaultShare          = 0.1
	DefaultFloorPerSecond = 0.2
	DefaultMaxSaved       = 20
)

// BudgetOptions configures a Budget.
type BudgetOptions struct {
	// Share is the number of tokens that each success adds, over 0 and under 1.
	Share float64
	// FloorPerSecond is the number of tokens added per second without any
	// success, so that requests for a rarely used model can be retried at all.
	FloorPerSecond float64
	// MaxSaved is the largest number of tokens.
	MaxSaved float64
}

func (o BudgetOptions) withDefaults() BudgetOptions {
	if o.Share == 0 {
		o.Share = DefaultShare
	}
	if o.FloorPerSecond == 0 {
		o.FloorPerSecond = DefaultFloorPerSecond
	}
	if o.MaxSaved == 0 {
		o.MaxSaved = DefaultMaxSaved
	}
	return o
}

func (o BudgetOptions) validate() error {
	switch {
	case o.Share <= 0 || o.Share >= 1:
		return &OptionError{Field: "Share"}
	case o.FloorPerSecond < 0:
		return &OptionError{Field: "FloorPerSecond"}
	case o.MaxSaved < 1:
		return &OptionError{Field: "MaxSaved"}
	}
	return nil
}
