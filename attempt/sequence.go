package attempt

import "github.com/laureltally/laureltally/ident"

// sequence identifies one of the two number sequences of a router incarnation.
type sequence struct {
	router      ident.VM
	incarnation ident.Incarnation
	claimed     bool
}

func sequenceOf(id ID) sequence {
	return sequence{router: id.Router, incarnation: id.Incarnation, claimed: id.Claimed}
}
