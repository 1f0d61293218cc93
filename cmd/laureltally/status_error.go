package main

import "fmt"

// statusError reports a router that gave no status.
type statusError struct {
	url    string
	status int
}

// Error implements error.
func (e *statusError) Error() string {
	return fmt.Sprintf("%s answered with status %d", e.url, e.status)
}
