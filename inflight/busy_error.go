package inflight

import "fmt"

// BusyError reports an attempt to open an order while another may be running.
type BusyError struct{ ID string }

// Error implements error.
func (e *BusyError) Error() string {
	return fmt.Sprintf("order %s refused: another may be running", e.ID)
}
