package main

// setupError reports that the preparation of a measurement failed.
type setupError struct{ Problem string }

// Error implements error.
func (e *setupError) Error() string { return "prepare measurement: " + e.Problem }
