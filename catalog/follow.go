package catalog

import (
	"context"

	"github.com/apex/log"

	"github.com/laureltally/laureltally/document"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/platform"
)

// Follow calls use with each newer version of an environment's document until
// ctx ends. Versions never go back, and a document with problems leaves the one
// before in force.
func Follow(ctx context.Context, s platform.Store, env ident.Environment, logger log.Interface, use func(*Catalog)) {
	w := document.NewWatcher(document.WatcherOptions{
		Store:       s,
		Environment: env,
		Logger:      logger,
		Use:         func(f document.InForce) { use(New(f.Version, f.Document)) },
	})
	// Run ends with ctx only.
	_ = w.Run(ctx)
}
