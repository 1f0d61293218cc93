package document

import "github.com/laureltally/laureltally/metastore"

// Accepted is the result of a write that took effect.
type Accepted struct {
	Version metastore.Version `json:"version"`
	Digest  string            `json:"digest"`
	// Superseded is set if a later write has already replaced the document. Version
	// is then zero, since it is no longer known.
	Superseded bool `json:"superseded,omitempty"`
}
