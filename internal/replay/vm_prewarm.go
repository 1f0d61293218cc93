package replay

import (
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
)

// learner is a policy that learns from loads.
type learner interface {
	ObserveLoad(m ident.Model, took time.Duration, now time.Time)
}

// prewarmer is a policy that names models to load ahead of their requests.
type prewarmer interface {
	Prewarm(now time.Time) []ident.Model
	Stage(now time.Time, far []ident.Model) []ident.Model
	NextPrewarm(now time.Time) (time.Time, bool)
}

// prewarmLoop loads what the policy names and comes back when it is due.
func (v *vm) prewarmLoop(p prewarmer, now time.Time) {
	for _, name := range p.Prewarm(now) {
		if v.prewarm(v.w.numbers[name], now) {
			v.w.count(now, &v.w.result.Prewarms)
		}
	}
	for _, name := range p.Stage(now, v.far()) {
		if v.prewarm(v.w.numbers[name], now) {
			v.w.count(now, &v.w.result.Stages)
		}
	}
	if next, ok := p.NextPrewarm(now); ok {
		v.w.events.at(next, func(at time.Time) { v.prewarmLoop(p, at) })
	}
}

// far returns the models of the VM's slots whose weights are in the store only,
// for every VM that holds a slot.
func (v *vm) far() []ident.Model {
	var out []ident.Model
	for i, m := range v.w.models {
		held, near := false, false
		for _, s := range m.slots {
			o := v.w.vms[s]
			held = held || o == v
			near = near || o.tier(i) != engine.TierRemote
		}
		if held && !near {
			out = append(out, m.name)
		}
	}
	return out
}

// prewarm loads a model that is loaded nowhere, if it fits beside the others.
func (v *vm) prewarm(m int, now time.Time) bool {
	if v.freeMB < v.w.models[m].memoryMB {
		return false
	}
	for _, s := range v.w.models[m].slots {
		if v.w.vms[s].replicas[m] != nil {
			return false
		}
	}
	r := &replica{model: m, phase: engine.PhaseLoading, adapters: make(map[ident.Adapter]bool), prewarmed: true}
	v.replicas[m] = r
	v.reserve(r, now)
	return true
}
