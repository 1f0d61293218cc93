package replay

import (
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
)

// loadObserver is a policy that learns from load times.
type loadObserver interface {
	ObserveLoad(m ident.Model, took time.Duration, now time.Time)
}

// prewarmer is a policy that selects models to load before their next request.
type prewarmer interface {
	Prewarm(now time.Time) []ident.Model
	Stage(now time.Time, storeOnly []ident.Model) []ident.Model
	NextPrewarm(now time.Time) (time.Time, bool)
}

// prewarmLoop loads the models that the policy selects and schedules its next run.
func (v *vm) prewarmLoop(p prewarmer, now time.Time) {
	for _, name := range p.Prewarm(now) {
		if v.prewarm(v.sim.modelIndex[name], now) {
			v.sim.count(now, &v.sim.result.Prewarms)
		}
	}
	for _, name := range p.Stage(now, v.storeOnly()) {
		if v.prewarm(v.sim.modelIndex[name], now) {
			v.sim.count(now, &v.sim.result.Stages)
		}
	}
	if next, ok := p.NextPrewarm(now); ok {
		v.sim.events.at(next, func(at time.Time) { v.prewarmLoop(p, at) })
	}
}

// storeOnly returns the models for which the VM holds a slot and whose weights no
// VM with a slot has cached.
func (v *vm) storeOnly() []ident.Model {
	var out []ident.Model
	for i, m := range v.sim.models {
		held, cached := false, false
		for _, s := range m.slots {
			o := v.sim.vms[s]
			held = held || o == v
			cached = cached || o.tier(i) != engine.TierRemote
		}
		if held && !cached {
			out = append(out, m.name)
		}
	}
	return out
}

// prewarm starts to load a model if no VM has loaded it or is loading it and the
// memory is free, and reports whether it did. It evicts nothing.
func (v *vm) prewarm(m int, now time.Time) bool {
	if v.freeMB < v.sim.models[m].memoryMB {
		return false
	}
	for _, s := range v.sim.models[m].slots {
		if v.sim.vms[s].replicas[m] != nil {
			return false
		}
	}
	r := &replica{model: m, phase: engine.PhaseLoading, adapters: make(map[ident.Adapter]bool), prewarmed: true}
	v.replicas[m] = r
	v.reserve(r, now)
	return true
}
