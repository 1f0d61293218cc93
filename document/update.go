package document

import (
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
)

// Update is a request to store a new text of a document.
type Update struct {
	Environment ident.Environment
	Stage       Stage
	Text        []byte
	Actor       string
	Reason      string
	// Base is the version that the operator read, or zero if there was none.
	Base metastore.Version
}
