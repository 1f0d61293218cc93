package allocation

import (
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
)

// Input is what a plan for one model is made from.
type Input struct {
	Model ident.Model
	// DocumentVersion is the version of the document that gives Limit.
	DocumentVersion metastore.Version
	// Limit is the decided number of replicas, zero if the document lacks the
	// model.
	Limit int
	// NeedMB is the accelerator memory of one replica, in MiB.
	NeedMB int64
	// Upstream is the group that the replicas run on.
	Upstream ident.Upstream
	// VMs is the platform's list, leaving VMs included.
	VMs map[ident.VM]metastore.VM
	// Removed tells whether a VM was seen in the platform's list and has gone.
	Removed func(ident.VM) bool
	// Slots counts the slots of each VM over all models. FreeMB is a hint; a VM
	// without an entry counts as free.
	Slots  map[ident.VM]int
	FreeMB map[ident.VM]int64
}
