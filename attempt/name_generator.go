package attempt

import (
	"sync/atomic"

	"github.com/laureltally/laureltally/ident"
)

// NameGenerator generates the names of a router's attempts. It is safe for
// concurrent use. Each incarnation must use a single NameGenerator.
type NameGenerator struct {
	router      ident.VM
	incarnation ident.Incarnation
	plain       atomic.Uint64
	claimed     atomic.Uint64
}

// NewNameGenerator returns a NameGenerator for one incarnation of a router.
func NewNameGenerator(router ident.VM, incarnation ident.Incarnation) *NameGenerator {
	return &NameGenerator{router: router, incarnation: incarnation}
}

// Unkeyed returns the name of a new attempt without a claim. Its dispatch must
// be sent within the request's deadline.
func (g *NameGenerator) Unkeyed() ident.Attempt {
	return ID{Router: g.router, Incarnation: g.incarnation, Seq: g.plain.Add(1)}.Attempt()
}

// Keyed returns the name of a new attempt with a claim.
func (g *NameGenerator) Keyed() ident.Attempt {
	return ID{Router: g.router, Incarnation: g.incarnation, Claimed: true, Seq: g.claimed.Add(1)}.Attempt()
}
