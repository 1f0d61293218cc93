package replica

import (
	"github.com/laureltally/laureltally/allocation"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
)

// simAllocation is one version of an allocation object.
type simAllocation struct {
	version metastore.Version
	alloc   allocation.Allocation
}

// simWrite is a conditional update in transit.
type simWrite struct {
	model  ident.Model
	alloc  allocation.Allocation
	expect metastore.Version
}

// simStore keeps every version of every allocation, so that reads can be stale.
type simStore struct {
	version metastore.Version
	history map[ident.Model][]simAllocation
	late    []simWrite
	// limitExceeded is set when a write gave a model more slots than its limit.
	limitExceeded bool
}

func (s *simStore) at(m ident.Model, v metastore.Version) simAllocation {
	var found simAllocation
	for _, a := range s.history[m] {
		if a.version <= v {
			found = a
		}
	}
	return found
}

func (s *simStore) head(m ident.Model) simAllocation { return s.at(m, s.version) }

func (s *simStore) put(w simWrite, blind bool) (simAllocation, bool) {
	head := s.head(w.model)
	if head.version != w.expect && !blind {
		return simAllocation{}, false
	}
	s.version++
	n := simAllocation{version: s.version, alloc: w.alloc}
	s.limitExceeded = s.limitExceeded || len(w.alloc.Slots) > max(w.alloc.Limit, len(head.alloc.Slots))
	s.history[w.model] = append(s.history[w.model], n)
	return n, true
}
