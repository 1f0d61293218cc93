package document

import (
	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/metastore"
)

// Active is a document that a process has brought in force.
type Active struct {
	Document config.Document
	Version  metastore.Version
	Digest   string
}
