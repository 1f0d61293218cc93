package main

// usageError reports a wrong command line.
type usageError struct{ detail string }

// Error implements error.
func (e *usageError) Error() string { return e.detail }
