package document

import "github.com/laureltally/laureltally/ident"

// Stage selects one of the two documents of an environment.
type Stage string

// The stages of a document.
const (
	StageProduction Stage = "production"
	StageTrial      Stage = "trial"
)

// Key returns the key of the object that stores a document.
func Key(e ident.Environment, s Stage) string { return "config/" + string(e) + "/" + string(s) }
