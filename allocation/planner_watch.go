package allocation

import (
	"context"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/laureltally/laureltally/metastore"
)

// watch keeps the view current.
func (p *Planner) watch(ctx context.Context) error {
	b := backoff.NewExponentialBackOff()
	for ctx.Err() == nil {
		if err := p.followOnce(ctx, b); err != nil && ctx.Err() == nil {
			p.o.Logger.WithError(err).Warn("watch of grants ended")
		}
		p.pauseWatch(ctx, b.NextBackOff())
	}
	return context.Cause(ctx)
}

func (p *Planner) followOnce(ctx context.Context, b *backoff.ExponentialBackOff) error {
	prefix := KeyPrefix(p.o.Environment)
	objects, version, err := p.o.Store.List(ctx, prefix)
	if err != nil {
		return fmt.Errorf("list grants: %w", err)
	}
	p.view.Replace(objects, version)
	p.poke()
	b.Reset()
	ctx, cancel := context.WithTimeout(ctx, p.o.RelistEvery)
	defer cancel()
	if err := p.o.Store.Watch(ctx, prefix, version, p.take); err != nil {
		return fmt.Errorf("watch grants: %w", err)
	}
	return nil
}

func (p *Planner) take(e metastore.Event) {
	if !e.Deleted && p.view.Apply(e.Object) {
		p.poke()
	}
}

func (p *Planner) pauseWatch(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
