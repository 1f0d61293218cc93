package fleet

import (
	"slices"

	"github.com/laureltally/laureltally/ident"
)

// VM is one upstream VM as it is registered.
type VM struct {
	// ID names one start of the VM's server, mostly. A server may start again
	// under its old id; Started tells the two apart.
	ID      ident.VM
	Service ident.Upstream
	// Address is the IP address and TCP port for requests.
	Address string
	Zone    ident.Zone
	Region  ident.Region
	// Concurrency is how many requests it serves at once.
	Concurrency int
	// Leaving VMs take no new requests.
	Leaving bool
	// Started is when the server started by its own clock, in Unix milliseconds.
	Started int64
	// Models are those that it has loaded, and empty for a plain service.
	Models []ident.Model
}

// SameInstance tells whether o is the same start of the same server.
func (v *VM) SameInstance(o *VM) bool {
	return v.ID == o.ID && v.Started == o.Started && v.Address == o.Address && v.Service == o.Service
}

// equal tells whether nothing at all differs.
func (v *VM) equal(o *VM) bool {
	return v.SameInstance(o) && v.Leaving == o.Leaving && v.Concurrency == o.Concurrency && slices.Equal(v.Models, o.Models)
}
