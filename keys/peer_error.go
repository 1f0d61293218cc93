package keys

import "fmt"

// PeerError reports a peer without a certificate, or with one that isn't signed by
// the authority or isn't currently valid.
type PeerError struct{ Err error }

// Error implements error.
func (e *PeerError) Error() string {
	if e.Err == nil {
		return "peer has no certificate"
	}
	return fmt.Sprintf("verify peer certificate: %v", e.Err)
}

// Unwrap returns the cause.
func (e *PeerError) Unwrap() error { return e.Err }
