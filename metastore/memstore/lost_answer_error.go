package memstore

// LostAnswerError is the cause of writes whose answer is lost: they took effect
// or will do so later.
type LostAnswerError struct{}

// Error implements error.
func (*LostAnswerError) Error() string { return "answer lost" }
