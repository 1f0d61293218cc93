package agent

import (
	"fmt"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/replica"
)

// share returns the share of accelerator memory that a replica of m occupies.
func (a *Agent) share(m ident.Model) float64 {
	spec, ok := a.spec(m)
	if !ok || a.o.Settings.MemoryMB <= 0 {
		return 1
	}
	return min(1, float64(spec.MemoryMB+spec.KVCacheMB)/float64(a.o.Settings.MemoryMB))
}

// newReplicas returns the replica manager of an agent beside an engine.
func newReplicas(a *Agent) (Replicas, error) {
	p, err := newPolicy(a.share)
	if err != nil {
		return nil, fmt.Errorf("new keep-alive policy: %w", err)
	}
	a.policy = p
	s := a.o.Settings
	return replica.New(replica.Options{
		Environment: s.Environment,
		VM:          s.VM,
		Incarnation: a.o.Incarnation,
		Store:       a.o.Store,
		Engine:      a.o.Engine,
		Spec:        a.spec,
		MemoryMB:    s.MemoryMB,
		Policy:      p,
		LoadLimiter: &storeLimiter{a: a},
		Logger:      a.o.Logger,
		Metrics:     a.o.Metrics,
		Now:         a.o.Now,
	})
}
