package replica

import "fmt"

// OptionsError reports a missing or wrong option.
type OptionsError struct{ Option string }

// Error implements error.
func (e *OptionsError) Error() string { return fmt.Sprintf("option %s is missing or wrong", e.Option) }
