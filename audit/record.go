package audit

import (
	"time"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
)

// MaxChanges is the maximum number of changes in a record; Truncated reports that
// there were more.
const MaxChanges = 50

// Record describes one change by an operator.
type Record struct {
	// ID is unique among all records.
	ID          string            `json:"id"`
	Time        time.Time         `json:"time"`
	Environment ident.Environment `json:"environment"`
	Actor       string            `json:"actor"`
	Action      Action            `json:"action"`
	// Subject identifies what was changed: an object key, the name of an authority, or
	// a VM.
	Subject string `json:"subject"`
	// Reason is the reason that the operator gave.
	Reason string `json:"reason,omitempty"`
	// Version is the version that the change created, and Previous the one that it
	// replaced.
	Version  metastore.Version `json:"version,omitempty"`
	Previous metastore.Version `json:"previous,omitempty"`
	// Digest is the SHA-256 of the document, in hexadecimal.
	Digest    string          `json:"digest,omitempty"`
	Changes   []config.Change `json:"changes,omitempty"`
	Truncated bool            `json:"truncated,omitempty"`
}

// SetChanges sets Changes to the first MaxChanges changes and Truncated if there are
// more.
func (r *Record) SetChanges(changes []config.Change) {
	r.Truncated = len(changes) > MaxChanges
	r.Changes = changes[:min(len(changes), MaxChanges)]
}
