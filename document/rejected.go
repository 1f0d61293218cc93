package document

import "github.com/laureltally/laureltally/platform"

// Rejected is a version that a process did not bring in force.
type Rejected struct {
	Version platform.Version
	Err     error
}
