package ingress

import "fmt"

// headerRefusedError reports that a connection ends within the header of a request, since there
// is no room for it or, if tooLarge is set, since it exceeds the configured limit.
type headerRefusedError struct {
	bytes    int
	tooLarge bool
}

// Error implements error.
func (e *headerRefusedError) Error() string {
	if e.tooLarge {
		return fmt.Sprintf("header of %d bytes or more is too large", e.bytes)
	}
	return fmt.Sprintf("no room for a header of %d bytes or more", e.bytes)
}
