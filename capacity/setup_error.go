package main

// setupError reports a measurement whose preparation did not work.
type setupError struct{ What string }

// Error implements error.
func (e *setupError) Error() string { return "preparation: " + e.What }
