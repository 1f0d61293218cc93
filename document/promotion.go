package document

import (
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
)

// Promotion asks for the text that trial runs to become that of production.
type Promotion struct {
	Environment ident.Environment
	Actor       string
	Reason      string
	// Digest names the text that was tried. If trial has another by now, nothing
	// is promoted.
	Digest string
	// Base is the version of production's document that the operator read.
	Base metastore.Version
}
