package replay

import (
	"maps"
	"slices"
	"time"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/keepalive"
)

// maxAdapters is how many adapters one replica holds at once.
const maxAdapters = 1

// loadAdapter loads the adapter of a request unless it is loaded, and returns the
// load time.
func (v *vm) loadAdapter(r *replica, q *request, now time.Time) time.Duration {
	if q.Adapter == "" {
		return 0
	}
	name := v.sim.models[r.model].name
	v.adapters.Observe(keepalive.AdapterKey{Model: name, Adapter: q.Adapter}, now)
	if r.adapters[q.Adapter] {
		return 0
	}
	if len(r.adapters) >= maxAdapters {
		delete(r.adapters, v.adapterToEvict(r, now))
	}
	r.adapters[q.Adapter] = true
	v.sim.count(now, &v.sim.result.AdapterLoads)
	span := v.sim.d.MaxAdapterLoad - v.sim.d.MinAdapterLoad
	return v.sim.d.MinAdapterLoad + time.Duration(v.sim.rand.Float64()*float64(span))
}

// adapterToEvict returns the adapter that the policy evicts first.
func (v *vm) adapterToEvict(r *replica, now time.Time) ident.Adapter {
	var keys []keepalive.AdapterKey
	for _, a := range slices.Sorted(maps.Keys(r.adapters)) {
		keys = append(keys, keepalive.AdapterKey{Model: v.sim.models[r.model].name, Adapter: a})
	}
	return v.adapters.EvictOrder(keys, now)[0].Adapter
}
