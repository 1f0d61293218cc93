package allocation

import (
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
)

// Input is the input of Plan for one model.
type Input struct {
	Model ident.Model
	// DocumentVersion is the version of the configuration document that gives
	// Limit.
	DocumentVersion metastore.Version
	// Limit is the configured number of replicas, zero if the document does not
	// contain the model.
	Limit int
	// NeedMB is the accelerator memory of one replica, in MiB.
	NeedMB int64
	// Upstream is the upstream that the replicas belong to.
	Upstream ident.Upstream
	// VMs is the platform's list, including VMs that are leaving.
	VMs map[ident.VM]metastore.VM
	// Removed reports whether a VM counts as removed from the platform's list,
	// see VMTracker.Removed.
	Removed func(ident.VM) bool
	// Slots counts the slots of each VM over all models. FreeMB is the free
	// accelerator memory of each VM in MiB, as a hint; a VM without an entry
	// counts as having enough.
	Slots  map[ident.VM]int
	FreeMB map[ident.VM]int64
}
