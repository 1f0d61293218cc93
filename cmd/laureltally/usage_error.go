package main

// usageError reports an invalid command line.
type usageError struct{ detail string }

// Error implements error.
func (e *usageError) Error() string { return e.detail }
