package agent

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/laureltally/laureltally/drain"
	"github.com/laureltally/laureltally/metastore"
)

const (
	// watchRetry and maxWatchRetry bound the growing, jittered pause after a
	// watch has failed.
	watchRetry    = time.Second
	maxWatchRetry = 30 * time.Second
)

// followDrain drains the agent while an operator asks for it.
func (a *Agent) followDrain(ctx context.Context) {
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
			a.o.Logger.WithError(err).Debug("drain orders not watched")
		}
		sleep(ctx, pause.NextBackOff())
	}
}

// watchDrain follows the order until the watch ends, and tells whether it could
// be read at all.
func (a *Agent) watchDrain(ctx context.Context, key string) (listed bool, err error) {
	objects, version, err := a.o.Store.List(ctx, key)
	if err != nil {
		return false, err
	}
	for _, o := range objects {
		a.drainOrder(key, metastore.Event{Object: o})
	}
	return true, a.o.Store.Watch(ctx, key, version, func(e metastore.Event) { a.drainOrder(key, e) })
}

// drainOrder obeys a change of the order to drain. Only the exact key counts:
// others may share its beginning.
func (a *Agent) drainOrder(key string, e metastore.Event) {
	if e.Object.Key != key {
		return
	}
	if drain.Active(e) {
		a.startDrain()
		return
	}
	a.endDrain()
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
