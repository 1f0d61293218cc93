package agent

import (
	"fmt"

	"github.com/laureltally/laureltally/replica"
)

// newReplicas builds the replica manager of an agent beside an engine.
func newReplicas(a *Agent) (Replicas, error) {
	p, err := newPolicy()
	if err != nil {
		return nil, fmt.Errorf("keep-alive: %w", err)
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
		Logger:      a.o.Logger,
		Metrics:     a.o.Metrics,
		Now:         a.o.Now,
	})
}
