package retry

// Defaults of BudgetOptions.
const (
	DefaultShare          = 0.1
	DefaultFloorPerSecond = 0.2
	DefaultMaxSaved       = 20
)

// BudgetOptions configures a Budget.
type BudgetOptions struct {
	// Share is how many retries each success pays for, over 0 and under 1.
	Share float64
	// FloorPerSecond is how many retries a second are paid for without any
	// success, so that a rarely used model can retry at all.
	FloorPerSecond float64
	// MaxSaved bounds the retries that are saved up.
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
