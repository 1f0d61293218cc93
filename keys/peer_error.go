package keys

import "fmt"

// PeerError reports a peer whose certificate the authority did not sign, or
// that is not valid now.
type PeerError struct{ Err error }

// Error implements error.
func (e *PeerError) Error() string {
	if e.Err == nil {
		return "peer has no certificate"
	}
	return fmt.Sprintf("peer's certificate: %v", e.Err)
}

// Unwrap returns the cause.
func (e *PeerError) Unwrap() error { return e.Err }
