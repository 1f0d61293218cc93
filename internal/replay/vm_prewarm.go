package replay

import (
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
)

// prewarmer is a policy that names models to load ahead of their requests.
type prewarmer interface {
	Prewarm(now time.Time) []ident.Model
	NextPrewarm(now time.Time) (time.Time, bool)
}

// prewarmLoop loads what the policy names and comes back when it is due.
func (v *vm) prewarmLoop(p prewarmer, now time.Time) {
	for _, name := range p.Prewarm(now) {
		v.prewarm(v.w.numbers[name], now)
	}
	if next, ok := p.NextPrewarm(now); ok {
		v.w.events.at(next, func(at time.Time) { v.prewarmLoop(p, at) })
	}
}

// prewarm loads a model that is loaded nowhere, if it fits beside the others.
func (v *vm) prewarm(m int, now time.Time) {
	if v.freeMB < v.w.models[m].memoryMB {
		return
	}
	for _, s := range v.w.models[m].slots {
		if v.w.vms[s].replicas[m] != nil {
			return
		}
	}
	r := v.start(m, now)
	r.prewarmed = r.phase != engine.PhaseLoaded
	v.w.count(now, &v.w.result.Prewarms)
}
