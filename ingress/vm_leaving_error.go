package ingress

// VMLeavingError reports a VM that began to leave, or whose server restarted and is not listed
// yet, while a request waited for its reservation there. The request has not run.
type VMLeavingError struct{}

// Error implements error.
func (*VMLeavingError) Error() string {
	return "VM began to leave, or its server restarted, while the request was queued"
}

// checkUsable returns the error of a reservation attempt, or a *VMLeavingError if the
// VM began to leave meanwhile.
func checkUsable(err error, usable bool) error {
	if err == nil && !usable {
		return &VMLeavingError{}
	}
	return err
}
