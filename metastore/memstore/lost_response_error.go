package memstore

// LostResponseError is the cause of an UnavailableError of a write whose response
// is lost: the write took effect or is attempted later.
type LostResponseError struct{}

// Error implements error.
func (*LostResponseError) Error() string { return "answer lost" }
