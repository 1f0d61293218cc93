package residency

import (
	"slices"
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
)

// adapterOrder returns an order that loads an adapter needed by a waiting request
// whose model is loaded, or that unloads another adapter to make room.
func (s *Scheduler) adapterOrder(now time.Time) *Submit {
	for _, p := range s.requests {
		adapters, loaded := s.snap.Loaded[p.Model]
		if p.isGranted() || p.Adapter == "" || !loaded || slices.Contains(adapters, p.Adapter) || !s.hasCapacity(p) {
			continue
		}
		if slices.Contains(s.snap.LoadingAdapters, AdapterRef{p.Model, p.Adapter}) {
			continue
		}
		if s.adapterFits(p.Model) {
			return &Submit{Kind: engine.OrderLoadAdapter, Model: p.Model, Adapter: p.Adapter, Purpose: "a request waits for the adapter"}
		}
		if ref, ok := s.idleAdapter(); ok {
			return &Submit{Kind: engine.OrderUnloadAdapter, Model: ref.Model, Adapter: ref.Adapter, Purpose: "room for another adapter"}
		}
	}
	return nil
}

// adapterFits reports whether a slot and memory are free for one more adapter of a
// model.
func (s *Scheduler) adapterFits(name ident.Model) bool {
	return s.usedAdapterSlots() < s.spec.AdapterSlots && s.usedMB()+s.spec.Model(name).AdapterMB <= s.spec.MemoryMB
}

// usedAdapterSlots returns the number of adapters that are loaded or being loaded.
func (s *Scheduler) usedAdapterSlots() int {
	slots := len(s.snap.LoadingAdapters)
	for _, adapters := range s.snap.Loaded {
		slots += len(adapters)
	}
	return slots
}

// idleAdapter returns the least recently used adapter that no request uses or waits
// for. Adapters of retired models come first.
func (s *Scheduler) idleAdapter() (AdapterRef, bool) {
	var (
		best         AdapterRef
		bestLastUsed time.Time
		bestRetired  bool
		found        bool
	)
	for name, adapters := range s.snap.Loaded {
		retired := s.retired(name)
		for _, a := range adapters {
			st := s.model(name).adapter(a)
			if st.active > 0 || s.hasWaiting(name, a) {
				continue
			}
			older := retired && !bestRetired || retired == bestRetired && st.lastUsed.Before(bestLastUsed)
			if !found || older {
				best, bestLastUsed, bestRetired, found = AdapterRef{name, a}, st.lastUsed, retired, true
			}
		}
	}
	return best, found
}

func (s *Scheduler) hasWaiting(name ident.Model, a ident.Adapter) bool {
	return slices.ContainsFunc(s.requests, func(p *pending) bool {
		return !p.isGranted() && p.Model == name && (a == "" || p.Adapter == a)
	})
}
