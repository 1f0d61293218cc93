package ingress

// StoppingError reports a request that had no response when the process had to exit.
type StoppingError struct{}

// Error implements error.
func (*StoppingError) Error() string { return "server is shutting down" }
