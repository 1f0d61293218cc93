package placement

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

const (
	// promiseTime is how long a model counts as coming after a VM was told to load
	// it; its report shows the load well before.
	promiseTime = 20 * time.Second
	// demandTime is how long a request that found no loaded model counts as demand.
	demandTime = 15 * time.Second
)

// demand is what is remembered of a model that requests did not find loaded.
type demand struct {
	missed   int
	lastMiss time.Time
}

// Missed notes a request that found its model loaded nowhere.
func (b *Board) Missed(now time.Time, n Need) {
	d := b.demand[n.Model]
	if d == nil || now.Sub(d.lastMiss) > demandTime {
		d = &demand{}
		b.demand[n.Model] = d
	}
	d.missed++
	d.lastMiss = now
}

// NextFetch names the model that is most worth loading from the weight store
// next, or is empty. It answers the first minutes of an installation, in which
// most models have never been loaded: a model that no VM has at hand comes before
// others, one that was asked for in vain before one that was not, and otherwise
// the operator's order decides. The model counts as coming from then on.
func (b *Board) NextFetch(now time.Time, service ident.Upstream) ident.Model {
	s := b.services[service]
	if s == nil || s.Engine == nil {
		return ""
	}
	var (
		best   ident.Model
		missed = -1
	)
	for i := range s.Engine.Models {
		name := s.Engine.Models[i].Name
		if now.Before(b.promised[name]) || b.atHandSomewhere(service, name) {
			continue
		}
		n := 0
		if d := b.demand[name]; d != nil && now.Sub(d.lastMiss) < demandTime {
			n = d.missed
		}
		if n > missed {
			best, missed = name, n
		}
	}
	if best != "" {
		b.promised[best] = now.Add(promiseTime)
	}
	return best
}

// Promise notes that a VM is about to load a model.
func (b *Board) Promise(now time.Time, name ident.Model) { b.promised[name] = now.Add(promiseTime) }

// atHandSomewhere tells whether any VM can serve a model without the weight
// store.
func (b *Board) atHandSomewhere(service ident.Upstream, name ident.Model) bool {
	for _, m := range b.members {
		if m.vm.Service == service && !m.vm.Leaving && m.readiness(name) != Remote {
			return true
		}
	}
	return false
}
