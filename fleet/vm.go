package fleet

import (
	"slices"
	"time"

	"github.com/laureltally/laureltally/ident"
)

// VM is one registered upstream VM.
type VM struct {
	// ID usually identifies one start of the VM's server. A server may restart
	// with its old id; Started distinguishes the two starts.
	ID      ident.VM
	Service ident.Upstream
	// Address is the IP address and TCP port for requests.
	Address string
	Zone    ident.Zone
	Region  ident.Region
	// Concurrency is how many requests the VM serves at once.
	Concurrency int
	// Leaving VMs take no new requests.
	Leaving bool
	// RemovalAnnounced is set if the VM is taken away at a set time, whatever it still runs.
	// RemovedIn is the time until then as of the registration, or zero if that is unknown.
	RemovalAnnounced bool
	RemovedIn        time.Duration
	// Started is the server's start time by its own clock, in Unix milliseconds.
	Started int64
	// Software is the version of the server's software. Streams can only be resumed at
	// the version that began them; versions have no order.
	Software string
	// Models are the loaded models; empty for a service.
	Models []ident.Model
}

// SameInstance reports whether o is the same start of the same server.
func (v *VM) SameInstance(o *VM) bool {
	return v.ID == o.ID && v.Started == o.Started && v.Address == o.Address && v.Service == o.Service
}

// equal reports whether o is the same instance as v and has the same Leaving,
// Concurrency and Models. RemovedIn changes with each registration; the Tracker keeps it.
func (v *VM) equal(o *VM) bool {
	return v.SameInstance(o) && v.Leaving == o.Leaving && v.Software == o.Software && v.Concurrency == o.Concurrency && slices.Equal(v.Models, o.Models)
}

// ServerStart returns the start of the VM's server that the entry describes.
func (v *VM) ServerStart() ServerStart { return ServerStart{Address: v.Address, Started: v.Started} }
