package replica

import (
	"github.com/laureltally/laureltally/allocation"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
)

// simGrant is one version of a grant object.
type simGrant struct {
	version metastore.Version
	grant   allocation.Allocation
}

// simWrite is a conditional update that is still on its way.
type simWrite struct {
	model  ident.Model
	grant  allocation.Allocation
	expect metastore.Version
}

// simStore keeps every version of every grant, so that reads can be stale.
type simStore struct {
	version metastore.Version
	history map[ident.Model][]simGrant
	late    []simWrite
	// raised is set when a write gave a model more slots than its limit.
	raised bool
}

func (s *simStore) at(m ident.Model, v metastore.Version) simGrant {
	var found simGrant
	for _, g := range s.history[m] {
		if g.version <= v {
			found = g
		}
	}
	return found
}

func (s *simStore) head(m ident.Model) simGrant { return s.at(m, s.version) }

func (s *simStore) put(w simWrite, blind bool) (simGrant, bool) {
	head := s.head(w.model)
	if head.version != w.expect && !blind {
		return simGrant{}, false
	}
	s.version++
	n := simGrant{version: s.version, grant: w.grant}
	s.raised = s.raised || len(w.grant.Slots) > max(w.grant.Limit, len(head.grant.Slots))
	s.history[w.model] = append(s.history[w.model], n)
	return n, true
}
