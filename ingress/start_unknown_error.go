package ingress

// StartUnknownError reports a server that can't be shown to be the start that the list has, so
// that its software version is unknown. The request has not run.
type StartUnknownError struct{}

// Error implements error.
func (*StartUnknownError) Error() string { return "server not known to be the listed one" }
