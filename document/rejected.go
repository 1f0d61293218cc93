package document

import "github.com/laureltally/laureltally/metastore"

// Rejected is a version that a process did not bring in force.
type Rejected struct {
	Version metastore.Version
	Err     error
}
