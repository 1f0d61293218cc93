package routing

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// member is one VM as a candidate for one target.
type member struct {
	state       *vmState
	adapters    map[ident.Adapter]struct{}
	serviceTime time.Duration
}

func (m *member) hasAdapter(a ident.Adapter) bool {
	_, ok := m.adapters[a]
	return ok || a == ""
}
