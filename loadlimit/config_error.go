package loadlimit

import "fmt"

// ConfigError reports a field of Config with a value that can't be used.
type ConfigError struct {
	Field string
	Value any
}

// Error implements error.
func (e *ConfigError) Error() string { return fmt.Sprintf("gate: %s can't be %v", e.Field, e.Value) }
