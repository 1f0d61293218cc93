package document

import (
	"fmt"
	"time"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/metastore"
)

// ConflictError reports a write that was rejected because another operator changed
// the document after it was read.
type ConflictError struct {
	// Base is the version that the rejected write is based on.
	Base metastore.Version
	// Version, Actor and Time are those of the stored document.
	Version metastore.Version
	Actor   string
	Time    time.Time
	// Changes are the differences from the stored document to the rejected one.
	Changes []config.Change
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("document changed since version %d: %s wrote version %d at %s, which differs in %d fields",
		e.Base, e.Actor, e.Version, e.Time.Format(time.RFC3339), len(e.Changes))
}
