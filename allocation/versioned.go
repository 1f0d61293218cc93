package allocation

import "github.com/laureltally/laureltally/metastore"

// versioned is a grant with the version of its object.
type versioned struct {
	grant   Allocation
	version metastore.Version
}
