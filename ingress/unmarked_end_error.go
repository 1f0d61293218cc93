package ingress

// UnmarkedEndError reports a response that may be complete or broken off: only the end of its
// connection marks its end.
type UnmarkedEndError struct{}

// Error implements error.
func (e *UnmarkedEndError) Error() string {
	return "connection closed, the end of the response is not marked"
}
