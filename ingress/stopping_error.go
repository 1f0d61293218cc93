package ingress

// StoppingError reports a request that did not begin before the process had to
// end.
type StoppingError struct{}

// Error implements error.
func (*StoppingError) Error() string { return "the process is stopping" }
