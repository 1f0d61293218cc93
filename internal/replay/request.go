package replay

import "time"

// request is an arrival under way.
type request struct {
	Arrival
	deadline time.Time
	// hop is the time on the links, there and back.
	hop time.Duration
	// vm is where the request was sent last.
	vm *vm
	// cold tells that it waits for a load.
	cold bool
	over bool
}
