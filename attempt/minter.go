package attempt

import (
	"sync/atomic"

	"github.com/laureltally/laureltally/ident"
)

// Minter makes the names of a router's attempts. It is safe for concurrent use.
// One incarnation has one Minter only.
type Minter struct {
	router      ident.VM
	incarnation ident.Incarnation
	plain       atomic.Uint64
	claimed     atomic.Uint64
}

// NewMinter returns a minter for one incarnation of a router.
func NewMinter(router ident.VM, incarnation ident.Incarnation) *Minter {
	return &Minter{router: router, incarnation: incarnation}
}

// Plain returns a new attempt without a claim. The dispatch follows within the
// request's deadline or never.
func (m *Minter) Plain() ident.Attempt {
	return ID{Router: m.router, Incarnation: m.incarnation, Seq: m.plain.Add(1)}.Attempt()
}

// Claimed returns a new attempt for a claim.
func (m *Minter) Claimed() ident.Attempt {
	return ID{Router: m.router, Incarnation: m.incarnation, Claimed: true, Seq: m.claimed.Add(1)}.Attempt()
}
