package agent

import (
	"context"
	"time"

	"github.com/laureltally/laureltally/admission"
	"github.com/laureltally/laureltally/catalog"
	"github.com/laureltally/laureltally/document"
)

// followDocument brings each newer version of the document in force.
func (a *Agent) followDocument(ctx context.Context) {
	_ = document.NewWatcher(document.WatcherOptions{
		Store:       a.o.Store,
		Environment: a.o.Settings.Environment,
		Logger:      a.o.Logger,
		Use:         func(f document.InForce) { a.useDocument(catalog.New(f.Version, f.Document)) },
	}).Run(ctx)
}

// useDocument replaces the catalog and what is derived from it.
func (a *Agent) useDocument(c *catalog.Catalog) {
	a.catalog.Store(c)
	a.mu.Lock()
	a.table.SetKeyedRetention(time.Duration(c.Document().Limits.ClaimWindow))
	a.mu.Unlock()
	if a.policy != nil {
		if err := a.policy.setAim(c.Document().Aim); err != nil {
			a.o.Logger.WithError(err).Warn("aim not applied")
		}
	}
	for _, l := range a.allLanes() {
		n := a.concurrency(l.model)
		l.do(func(now time.Time) []admission.Action { return l.queue.SetConcurrency(now, n) })
	}
	a.reports.now()
}
