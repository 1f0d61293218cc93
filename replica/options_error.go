package replica

import "fmt"

// OptionsError reports a missing or invalid option.
type OptionsError struct{ Option string }

// Error implements error.
func (e *OptionsError) Error() string {
	return fmt.Sprintf("option %s is missing or invalid", e.Option)
}
