package ingress

import "fmt"

// EventOrderError reports an event whose id is not above that of the event before it.
type EventOrderError struct{ ID, Last string }

// Error implements error.
func (e *EventOrderError) Error() string {
	return fmt.Sprintf("event %s after event %s", e.ID, e.Last)
}
