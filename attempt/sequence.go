package attempt

import "github.com/laureltally/laureltally/ident"

// sequence names one of the two numberings of a router's incarnation.
type sequence struct {
	router      ident.VM
	incarnation ident.Incarnation
	claimed     bool
}

func sequenceOf(id ID) sequence {
	return sequence{router: id.Router, incarnation: id.Incarnation, claimed: id.Claimed}
}
