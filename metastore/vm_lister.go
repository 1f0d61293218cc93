package metastore

import "context"

// VMLister reads the platform's list of VMs.
type VMLister interface {
	// ListVMs returns the live and the leaving VMs, as of some seconds ago.
	ListVMs(ctx context.Context) ([]VM, error)
}
