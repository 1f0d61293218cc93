package agent

import (
	"context"
	"time"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/wire"
)

const (
	// minPrewarmPause and maxPrewarmPause bound the interval between searches for
	// models to prewarm.
	minPrewarmPause = time.Second
	maxPrewarmPause = time.Minute
)

// prewarmLoop loads models that their history makes likely to be requested.
func (a *Agent) prewarmLoop(ctx context.Context) {
	for ctx.Err() == nil {
		now := a.o.Now()
		models, next := a.policy.prewarm(now)
		a.prewarm(models)
		sleep(ctx, min(max(next.Sub(now), minPrewarmPause), maxPrewarmPause))
	}
}

// prewarm loads the models for which the VM has a slot, that are not loaded and
// that fit without unloading another.
func (a *Agent) prewarm(models []ident.Model) {
	free := a.replicas.FreeMB()
	reports := make(map[ident.Model]wire.ModelReport)
	for _, r := range a.replicas.Models() {
		reports[r.Model] = r
	}
	for _, m := range models {
		spec, ok := a.spec(m)
		r := reports[m]
		if !ok || r.Fence == 0 || r.Phase != "" || spec.MemoryMB+spec.KVCacheMB > free {
			continue
		}
		free -= spec.MemoryMB + spec.KVCacheMB
		a.o.Logger.WithField("model", m).Info("prewarm started")
		a.handlePrewarm(&wire.Prewarm{Environment: a.o.Settings.Environment, Model: m, Priority: a.lowestPriority()})
	}
}

// lowestPriority returns a priority below all of the document's, so that loads
// for requests come first.
func (a *Agent) lowestPriority() ident.Priority {
	c := a.catalog.Load()
	if c == nil {
		return 0
	}
	return ident.Priority(len(c.Document().Priorities))
}
