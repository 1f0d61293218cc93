package catalog

import (
	"context"
	"encoding/json"
	"time"

	"github.com/apex/log"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/platform"
)

// followRetry is how long to wait after a watch has failed.
const followRetry = time.Second

// Follow calls use with each newer version of an environment's document until
// ctx ends. Versions never go back.
func Follow(ctx context.Context, s platform.Store, env ident.Environment, logger log.Interface, use func(*Catalog)) {
	key := "config/" + string(env) + "/production"
	var last platform.Version
	take := func(o platform.Object) {
		if o.Key != key || o.Version <= last {
			return
		}
		var d config.Document
		if err := json.Unmarshal(o.Value, &d); err != nil {
			logger.WithError(err).Error("document not usable")
			return
		}
		last = o.Version
		use(New(o.Version, d))
	}
	for ctx.Err() == nil {
		objects, version, err := s.List(ctx, key)
		for _, o := range objects {
			take(o)
		}
		if err == nil {
			err = s.Watch(ctx, key, version, func(e platform.Event) { take(e.Object) })
		}
		if err != nil && ctx.Err() == nil {
			logger.WithError(err).Debug("document not watched")
		}
		select {
		case <-ctx.Done():
		case <-time.After(followRetry):
		}
	}
}
