package allocation

import "github.com/laureltally/laureltally/metastore"

// versioned is an allocation with the version of its object.
type versioned struct {
	allocation Allocation
	version    metastore.Version
}
