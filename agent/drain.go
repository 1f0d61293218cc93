package agent

import (
	"context"
	"time"

	"github.com/laureltally/laureltally/drain"
	"github.com/laureltally/laureltally/platform"
)

// watchRetry is how long to wait after a watch has failed.
const watchRetry = time.Second

// followDrain drains the agent while an operator asks for it.
func (a *Agent) followDrain(ctx context.Context) {
	key := drain.Key(a.o.Settings.VM)
	for ctx.Err() == nil {
		if err := a.watchDrain(ctx, key); err != nil && ctx.Err() == nil {
			a.o.Logger.WithError(err).Debug("drain orders not watched")
		}
		sleep(ctx, watchRetry)
	}
}

func (a *Agent) watchDrain(ctx context.Context, key string) error {
	objects, version, err := a.o.Store.List(ctx, key)
	if err != nil {
		return err
	}
	for _, o := range objects {
		a.drainOrder(key, platform.Event{Object: o})
	}
	return a.o.Store.Watch(ctx, key, version, func(e platform.Event) { a.drainOrder(key, e) })
}

// drainOrder obeys a change of the order to drain. Only the exact key counts:
// others may share its beginning.
func (a *Agent) drainOrder(key string, e platform.Event) {
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
