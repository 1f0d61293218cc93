package replay

import "time"

// request is an arrival in progress.
type request struct {
	Arrival
	deadline time.Time
	// linkTime is the round-trip time on the links between regions.
	linkTime time.Duration
	// vm is the VM to which the request was sent last.
	vm *vm
	// cold is set if the model was not loaded when the VM received the request.
	cold bool
	// done is set once the request is served or refused.
	done bool
}
