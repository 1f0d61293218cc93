package placement

import "github.com/laureltally/laureltally/fleet"

// MalformedSlowness records that a server has stated a slowness that can't be read, and
// reports whether it is the first one since the server started.
func (b *Balancer) MalformedSlowness(vm *fleet.VM) bool {
	i := b.instance(vm)
	first := !i.malformedSlowness
	i.malformedSlowness = true
	return first
}
