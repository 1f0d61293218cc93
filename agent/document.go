package agent

import (
	"context"
	"time"

	"github.com/laureltally/laureltally/admission"
	"github.com/laureltally/laureltally/catalog"
	"github.com/laureltally/laureltally/document"
)

// watchDocument applies each new version of the document.
func (a *Agent) watchDocument(ctx context.Context) {
	_ = document.NewWatcher(document.WatcherOptions{
		Store:       a.o.Store,
		Environment: a.o.Settings.Environment,
		Logger:      a.o.Logger,
		OnChange:    func(f document.Active) { a.applyDocument(catalog.New(f.Version, f.Document)) },
	}).Run(ctx)
}

// applyDocument replaces the catalog and the settings derived from it.
func (a *Agent) applyDocument(c *catalog.Catalog) {
	a.catalog.Store(c)
	a.mu.Lock()
	a.table.SetKeyedRetention(time.Duration(c.Document().Limits.KeyRetention))
	a.mu.Unlock()
	if a.policy != nil {
		if err := a.policy.setAim(c.Document().Aim); err != nil {
			a.o.Logger.WithError(err).Warn("aim not applied")
		}
	}
	for _, mq := range a.allModelQueues() {
		n := a.concurrency(mq.model)
		mq.apply(func(now time.Time) []admission.Action { return mq.queue.SetConcurrency(now, n) })
	}
	a.reports.now()
}
