package document

import "fmt"

// BacklogError reports a change that was rejected because too many audit records
// of earlier changes have not been copied yet.
type BacklogError struct{ Records int }

// Error implements error.
func (e *BacklogError) Error() string {
	return fmt.Sprintf("change rejected: %d audit records not copied yet", e.Records)
}
