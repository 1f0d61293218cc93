package fleet

import (
	"context"

	"github.com/laureltally/laureltally/serving"
)

// Directory reads the operator's configuration and the registered VMs. A read
// reflects all writes that were acknowledged before it was called.
type Directory interface {
	Config(context.Context) (*serving.Config, error)
	VMs(context.Context) (Listing, error)
}
