package router

// UnmarkedEndError reports a response that may have been broken off: only the end of the
// upstream's connection marked its end.
type UnmarkedEndError struct{}

// Error implements error.
func (e *UnmarkedEndError) Error() string { return "the end of the answer is not marked" }
