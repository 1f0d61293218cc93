package residency

import (
	"time"

	"github.com/laureltally/laureltally/decay"
	"github.com/laureltally/laureltally/ident"
)

// modelState is what the Scheduler records of one model in addition to the engine's
// snapshot.
type modelState struct {
	// requestRate counts requests for the model; lastUsed is when one was last
	// admitted or ended.
	requestRate decay.Rate
	lastUsed    time.Time
	// impatientRate counts those requests that can't wait for a load of the model.
	impatientRate decay.Rate
	// floodedAt is when a tenant beyond its share last requested the model, and neededAt
	// when another one did, in an ordered queue.
	floodedAt, neededAt time.Time
	// loadedAt is when a load ordered by this process was seen to be complete.
	loadedAt time.Time
	// active counts admitted requests; adapters counts them by adapter.
	active   int
	adapters map[ident.Adapter]*adapterState
}

// adapterState is the usage of one adapter.
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
