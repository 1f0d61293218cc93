package document

import "github.com/laureltally/laureltally/ident"

// Slot is one of the two documents of an environment.
type Slot string

// The slots.
const (
	SlotProduction Slot = "production"
	SlotTrial      Slot = "trial"
)

// Key returns the key of a document's object.
func Key(e ident.Environment, s Slot) string { return "config/" + string(e) + "/" + string(s) }
