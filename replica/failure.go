package replica

import "time"

// failure is the last failed order about a model or an adapter.
type failure struct {
	retryAt time.Time
	cause   error
}
