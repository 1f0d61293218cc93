package agent

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/laureltally/laureltally/drain"
	"github.com/laureltally/laureltally/metastore"
)

const (
	// watchRetry and maxWatchRetry bound the exponential backoff, with jitter,
	// after a watch has failed.
	watchRetry    = time.Second
	maxWatchRetry = 30 * time.Second
)

// followDrainOrder drains the agent while an operator's drain order exists.
func (a *Agent) followDrainOrder(ctx context.Context) {
	key := drain.Key(a.o.Settings.VM)
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = watchRetry
	pause.MaxInterval = maxWatchRetry
	for ctx.Err() == nil {
		listed, err := a.watchDrain(ctx, key)
		if listed {
			pause.Reset()
		}
		if err != nil && ctx.Err() == nil {
			a.o.Logger.WithError(err).Debug("drain order watch failed")
		}
		sleep(ctx, pause.NextBackOff())
	}
}

// watchDrain follows the drain order until the watch ends, and reports whether
// the order could be read.
func (a *Agent) watchDrain(ctx context.Context, key string) (listed bool, err error) {
	objects, version, err := a.o.Store.List(ctx, key)
	if err != nil {
		return false, err
	}
	for _, o := range objects {
		a.handleDrainEvent(key, metastore.Event{Object: o})
	}
	return true, a.o.Store.Watch(ctx, key, version, func(e metastore.Event) { a.handleDrainEvent(key, e) })
}

// handleDrainEvent applies a change of the drain order. Events of other keys
// with the same prefix are ignored.
func (a *Agent) handleDrainEvent(key string, e metastore.Event) {
	if e.Object.Key != key {
		return
	}
	if drain.Active(e) {
		a.startDrain()
		return
	}
	a.cancelDrain()
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
