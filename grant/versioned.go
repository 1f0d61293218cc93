package grant

import "github.com/laureltally/laureltally/metastore"

// versioned is a grant with the version of its object.
type versioned struct {
	grant   Grant
	version metastore.Version
}
