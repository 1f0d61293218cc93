package document

import "github.com/laureltally/laureltally/metastore"

// Accepted tells of a write that took effect.
type Accepted struct {
	Version metastore.Version `json:"version"`
	Digest  string            `json:"digest"`
	// Superseded tells that a later write replaced it already. Version is zero
	// then, since it is not known any more.
	Superseded bool `json:"superseded,omitempty"`
}
