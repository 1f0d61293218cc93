package coldstart

import "fmt"

// ConfigError reports an invalid field of Config.
type ConfigError struct {
	Field string
	Value any
}

// Error implements error.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("coldstart: invalid config: %s is %v", e.Field, e.Value)
}
