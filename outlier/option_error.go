package outlier

import "fmt"

// OptionError reports an option that is missing or out of range.
type OptionError struct{ Field string }

// Error implements error.
func (e *OptionError) Error() string { return fmt.Sprintf("outlier: invalid option %s", e.Field) }
