package residency

import (
	"time"

	"github.com/laureltally/laureltally/decay"
	"github.com/laureltally/laureltally/ident"
)

// modelState is what is known of one model beside the engine's report.
type modelState struct {
	// asked counts requests for it, and lastUsed is when the last was granted.
	asked    decay.Rate
	lastUsed time.Time
	// loadedAt is when a load that this process ordered was seen to be done.
	loadedAt time.Time
	// active counts granted requests, in all and by adapter.
	active   int
	adapters map[ident.Adapter]*adapterState
}

// adapterState is the same for an adapter.
type adapterState struct {
	active   int
	lastUsed time.Time
}

func (m *modelState) adapter(a ident.Adapter) *adapterState {
	s := m.adapters[a]
	if s == nil {
		s = &adapterState{}
		if m.adapters == nil {
			m.adapters = make(map[ident.Adapter]*adapterState)
		}
		m.adapters[a] = s
	}
	return s
}
