package quarantine

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// Sound is the proof that a trait does not crash servers: an answer to a request with it
// that began at a time and went on for long, or was complete.
type Sound struct {
	Trait   ident.Trait
	BegunAt time.Time
}
