package allocation

import "fmt"

// OptionsError reports a missing option.
type OptionsError struct{ Option string }

// Error implements error.
func (e *OptionsError) Error() string { return fmt.Sprintf("option %s is missing", e.Option) }
