package metastore

import "github.com/laureltally/laureltally/ident"

// VM is one entry of the platform's list of VMs. The list may be some seconds
// old.
type VM struct {
	ID     ident.VM     `json:"id"`
	Role   Role         `json:"role"`
	Region ident.Region `json:"region"`
	Zone   ident.Zone   `json:"zone"`
	// Address is the IP address and UDP port of the VM's laureltally process.
	Address  string         `json:"address"`
	Upstream ident.Upstream `json:"upstream,omitempty"`
	Leaving  bool           `json:"leaving,omitempty"`
}
