package document

import "github.com/laureltally/laureltally/metastore"

// Rejected is a version that a process did not put in force, with the reason.
type Rejected struct {
	Version metastore.Version
	Err     error
}
