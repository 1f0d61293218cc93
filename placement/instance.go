package placement

import (
	"time"

	"github.com/laureltally/laureltally/fleet"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/requestlimit"
)

// instanceKey identifies one start of a VM's server.
type instanceKey struct {
	vm      ident.VM
	started int64
}

// instance is what one start of a server has asked of this router in its responses. It
// outlives the server's registration, which may expire while the server runs.
type instance struct {
	// leaving is set once the server has said that it is about to stop.
	leaving bool
	// pausedUntil is the time until which the server wants no requests.
	pausedUntil time.Time
	// share is this router's part in the limit on requests that the server names.
	share requestlimit.Share
	// malformedSlowness is set once the server has stated a slowness that can't be read.
	malformedSlowness bool
}

// unremarkable reports whether nothing has to be remembered of the server. Its limit is
// known without it.
func (i *instance) unremarkable() bool { return !i.leaving && i.pausedUntil.IsZero() }

// instance returns the state of the server that a VM entry describes.
func (b *Balancer) instance(vm *fleet.VM) *instance {
	key := instanceKey{vm.ID, vm.Started}
	i := b.instances[key]
	if i == nil {
		i = &instance{}
		b.instances[key] = i
	}
	return i
}

// ServerLeaving records that a server has said in a response that it is about to stop,
// and reports whether that was not known. It gets no new requests from then on; its
// registration may say so only later.
func (b *Balancer) ServerLeaving(now time.Time, vm *fleet.VM) bool {
	i := b.instance(vm)
	if i.leaving {
		return false
	}
	i.leaving = true
	if m := b.members[vm.ID]; m != nil && m.vm.SameInstance(vm) {
		b.publishRegistration(now, m)
	}
	return true
}

// PauseServer stops sending requests to a server for a time that it has asked for.
// Requests resume at times spread over pauseSpread of the pause, so that the routers
// that were turned away together do not return together.
func (b *Balancer) PauseServer(now time.Time, vm *fleet.VM, pause time.Duration) {
	until := now.Add(pause + time.Duration(pauseSpread*b.opts.Rand.Float64()*float64(pause)))
	if i := b.instance(vm); until.After(i.pausedUntil) {
		i.pausedUntil = until
	}
}

// pauseSpread is the fraction of a pause over which routers spread their return.
const pauseSpread = 0.2
