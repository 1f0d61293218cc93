package catalog

import (
	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/ident"
)

// Target is what an API model name means. Adapter is empty for the base model.
type Target struct {
	Model    config.Model
	Adapter  ident.Adapter
	Priority ident.Priority
}
