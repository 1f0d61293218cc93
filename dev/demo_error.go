package dev

import "fmt"

// demoError reports a request of the demonstration that got an error status.
type demoError struct {
	title  string
	status string
}

// Error implements error.
func (e *demoError) Error() string { return fmt.Sprintf("%s: status %s", e.title, e.status) }
