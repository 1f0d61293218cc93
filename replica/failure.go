package replica

import "time"

// failure is the last failed order for a model or an adapter.
type failure struct {
	retryAt time.Time
	cause   error
}
