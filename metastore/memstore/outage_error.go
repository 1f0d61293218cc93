package memstore

// OutageError is the cause of an UnavailableError during an outage.
type OutageError struct{}

// Error implements error.
func (*OutageError) Error() string { return "outage" }
