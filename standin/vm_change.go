package standin

import (
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
)

// VMChange is the body of /control/vms: a VM to add or replace, or the id of a VM to
// remove. Put with the VM's Leaving field set marks the VM as leaving.
type VMChange struct {
	Put    *metastore.VM `json:"put,omitempty"`
	Remove ident.VM      `json:"remove,omitempty"`
}
