package fleet

import (
	"context"

	"github.com/laureltally/laureltally/serving"
)

// Directory reads what the operator configured and which VMs are registered. A
// read reflects all that was acknowledged before it was asked for.
type Directory interface {
	Config(context.Context) (*serving.Config, error)
	// VMs also returns the errors of entries that make no sense.
	VMs(context.Context) (vms []VM, malformed []error, err error)
}
