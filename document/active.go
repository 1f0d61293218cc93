package document

import (
	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/metastore"
)

// Active is a document that is in force in a process.
type Active struct {
	Document config.Document
	Version  metastore.Version
	Digest   string
}
