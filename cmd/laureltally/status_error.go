package main

import "fmt"

// statusError reports an unexpected HTTP status of a router's response.
type statusError struct {
	url    string
	status int
}

// Error implements error.
func (e *statusError) Error() string {
	return fmt.Sprintf("request %s: got HTTP status %d, want 200", e.url, e.status)
}
