package document

import "github.com/laureltally/laureltally/ident"

// Stage is one of the two documents of an environment.
type Stage string

// The slots.
const (
	StageProduction Stage = "production"
	StageTrial      Stage = "trial"
)

// Key returns the key of a document's object.
func Key(e ident.Environment, s Stage) string { return "config/" + string(e) + "/" + string(s) }
