package inflight

import "fmt"

// BusyError reports an order that was not submitted because another one may be
// running.
type BusyError struct{ ID string }

// Error implements error.
func (e *BusyError) Error() string {
	return fmt.Sprintf("submit order %s: another order may be running", e.ID)
}
