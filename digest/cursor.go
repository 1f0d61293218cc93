package digest

import "github.com/laureltally/laureltally/ident"

// cursor is how far a peer's log was read: all of it up to position, and in the
// reply that is being read in pages, the records up to after.
type cursor struct {
	log      ident.Incarnation
	position uint64
	after    uint64
}
