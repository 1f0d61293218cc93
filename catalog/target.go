package catalog

import (
	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/ident"
)

// Target is what a model name in the API refers to. Adapter is empty for the
// base model.
type Target struct {
	Model    config.Model
	Adapter  ident.Adapter
	Priority ident.Priority
}
