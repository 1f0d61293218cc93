package attempt

import (
	"sync/atomic"

	"github.com/laureltally/laureltally/ident"
)

// NameGenerator makes the names of a router's attempts. It is safe for concurrent use.
// One incarnation has one Minter only.
type NameGenerator struct {
	router      ident.VM
	incarnation ident.Incarnation
	plain       atomic.Uint64
	claimed     atomic.Uint64
}

// NewNameGenerator returns a minter for one incarnation of a router.
func NewNameGenerator(router ident.VM, incarnation ident.Incarnation) *NameGenerator {
	return &NameGenerator{router: router, incarnation: incarnation}
}

// Unkeyed returns a new attempt without a claim. The dispatch follows within the
// request's deadline or never.
func (m *NameGenerator) Unkeyed() ident.Attempt {
	return ID{Router: m.router, Incarnation: m.incarnation, Seq: m.plain.Add(1)}.Attempt()
}

// Keyed returns a new attempt for a claim.
func (m *NameGenerator) Keyed() ident.Attempt {
	return ID{Router: m.router, Incarnation: m.incarnation, Claimed: true, Seq: m.claimed.Add(1)}.Attempt()
}
