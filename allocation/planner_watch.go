package allocation

import (
	"context"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/laureltally/laureltally/metastore"
)

// watch lists and watches the allocations until ctx ends, with exponential
// backoff between watches.
func (p *Planner) watch(ctx context.Context) error {
	b := backoff.NewExponentialBackOff()
	for ctx.Err() == nil {
		if err := p.listAndWatch(ctx, b); err != nil && ctx.Err() == nil {
			p.o.Logger.WithError(err).Warn("allocation watch ended")
		}
		p.sleep(ctx, b.NextBackOff())
	}
	return context.Cause(ctx)
}

func (p *Planner) listAndWatch(ctx context.Context, b *backoff.ExponentialBackOff) error {
	prefix := KeyPrefix(p.o.Environment)
	objects, version, err := p.o.Store.List(ctx, prefix)
	if err != nil {
		return fmt.Errorf("list allocations: %w", err)
	}
	p.view.Replace(objects, version)
	p.signal()
	b.Reset()
	ctx, cancel := context.WithTimeout(ctx, p.o.RelistInterval)
	defer cancel()
	if err := p.o.Store.Watch(ctx, prefix, version, p.applyEvent); err != nil {
		return fmt.Errorf("watch allocations: %w", err)
	}
	return nil
}

func (p *Planner) applyEvent(e metastore.Event) {
	if !e.Deleted && p.view.Apply(e.Object) {
		p.signal()
	}
}

func (p *Planner) sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
