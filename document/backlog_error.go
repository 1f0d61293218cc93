package document

import "fmt"

// BacklogError reports that too many audit records could not be copied for
// another change to be accepted.
type BacklogError struct{ Records int }

// Error implements error.
func (e *BacklogError) Error() string {
	return fmt.Sprintf("%d audit records are not copied yet", e.Records)
}
