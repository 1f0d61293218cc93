package document

import (
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
)

// Promotion is a request to store the text of the trial document as the production
// document.
type Promotion struct {
	Environment ident.Environment
	Actor       string
	Reason      string
	// Digest is the digest of the text that was tested in trial. If the trial
	// document has a different digest, nothing is promoted.
	Digest string
	// Base is the version of the production document that the operator read.
	Base metastore.Version
}
