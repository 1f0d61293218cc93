package ingress

// VMLeavingError reports a VM that began to leave while a request waited for its
// place there. The request has not run.
type VMLeavingError struct{}

// Error implements error.
func (*VMLeavingError) Error() string { return "the VM began to leave while the request waited" }

// stillGood adds to the outcome of a reservation that its VM may have begun to
// leave meanwhile.
func stillGood(err error, usable bool) error {
	if err == nil && !usable {
		return &VMLeavingError{}
	}
	return err
}
