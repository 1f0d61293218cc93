package replay

import (
	"maps"
	"slices"
	"time"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/keepalive"
)

// adapterPlaces is how many adapters one replica holds at once.
const adapterPlaces = 1

// loadAdapter loads the adapter of a request if need be and returns how long it
// takes.
func (v *vm) loadAdapter(r *replica, q *request, now time.Time) time.Duration {
	if q.Adapter == "" {
		return 0
	}
	name := v.w.models[r.model].name
	v.adapters.Observe(keepalive.AdapterKey{Model: name, Adapter: q.Adapter}, now)
	if r.adapters[q.Adapter] {
		return 0
	}
	if len(r.adapters) >= adapterPlaces {
		delete(r.adapters, v.firstAdapter(r, now))
	}
	r.adapters[q.Adapter] = true
	v.w.count(now, &v.w.result.AdapterLoads)
	span := v.w.d.AdapterMax - v.w.d.AdapterMin
	return v.w.d.AdapterMin + time.Duration(v.w.rand.Float64()*float64(span))
}

// firstAdapter returns the adapter to unload first.
func (v *vm) firstAdapter(r *replica, now time.Time) ident.Adapter {
	var keys []keepalive.AdapterKey
	for _, a := range slices.Sorted(maps.Keys(r.adapters)) {
		keys = append(keys, keepalive.AdapterKey{Model: v.w.models[r.model].name, Adapter: a})
	}
	return v.adapters.EvictOrder(keys, now)[0].Adapter
}
