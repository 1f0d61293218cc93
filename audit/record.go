package audit

import (
	"time"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
)

// MaxChanges is how many changes a record lists; Truncated tells of more.
const MaxChanges = 50

// Record is one act of an operator.
type Record struct {
	// ID is unique.
	ID          string            `json:"id"`
	Time        time.Time         `json:"time"`
	Environment ident.Environment `json:"environment"`
	Actor       string            `json:"actor"`
	Action      Action            `json:"action"`
	// Subject is what was acted on: the key of an object, or a VM.
	Subject string `json:"subject"`
	// Reason is the operator's own word.
	Reason string `json:"reason,omitempty"`
	// Version is that of the change, and Previous that of what it replaced.
	Version  metastore.Version `json:"version,omitempty"`
	Previous metastore.Version `json:"previous,omitempty"`
	// Digest is the SHA-256 of the document, in hexadecimal.
	Digest    string          `json:"digest,omitempty"`
	Changes   []config.Change `json:"changes,omitempty"`
	Truncated bool            `json:"truncated,omitempty"`
}

// SetChanges lists the first MaxChanges changes.
func (r *Record) SetChanges(changes []config.Change) {
	r.Truncated = len(changes) > MaxChanges
	r.Changes = changes[:min(len(changes), MaxChanges)]
}
