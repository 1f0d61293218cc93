package standin

import (
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
)

// VMChange is the body of /control/vms: a VM to add or replace, or the id of
// one to remove. A VM is marked as leaving by its field.
type VMChange struct {
	Put    *metastore.VM `json:"put,omitempty"`
	Remove ident.VM      `json:"remove,omitempty"`
}
