package placement

import "github.com/laureltally/laureltally/ident"

// ExpectedLoadID identifies an expected load of a Balancer.
type ExpectedLoadID uint64

// expectedLoad is a load from the weight store that a VM holds a permit for.
type expectedLoad struct {
	model ident.Model
	// address is the upstream address of the VM.
	address string
}
