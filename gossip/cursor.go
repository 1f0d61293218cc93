package gossip

import "github.com/laureltally/laureltally/ident"

// cursor is the position up to which a peer's log was read.
type cursor struct {
	log      ident.Incarnation
	position uint64
}
