package loadlimit

import "fmt"

// ConfigError reports a field of Config with an invalid value.
type ConfigError struct {
	Field string
	Value any
}

// Error implements error.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("invalid value for %s: %v", e.Field, e.Value)
}
