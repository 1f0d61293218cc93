package document

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cenkalti/backoff/v5"

	"github.com/laureltally/laureltally/internal/wait"
	"github.com/laureltally/laureltally/metastore"
)

// Watcher puts each newer version of a document in force. It never reverts to an
// older version: stale reads and a deletion of the document have no effect, and
// after an invalid document the previous one stays in force. It is safe for
// concurrent use.
type Watcher struct {
	o   WatcherOptions
	key string

	mu       sync.Mutex
	current  Active
	lastSeen metastore.Version
	rejected *Rejected
}

// NewWatcher returns a watcher that does nothing until Run is called.
func NewWatcher(o WatcherOptions) *Watcher {
	if o.Stage == "" {
		o.Stage = StageProduction
	}
	if o.Logger == nil {
		o.Logger = log.Log
	}
	if o.OnChange == nil {
		o.OnChange = func(Active) {}
	}
	if o.RelistInterval == 0 {
		o.RelistInterval = DefaultRelistInterval
	}
	if o.MaxRetryDelay == 0 {
		o.MaxRetryDelay = DefaultMaxRetryDelay
	}
	if o.Random == nil {
		o.Random = rand.Float64
	}
	o.Logger = o.Logger.WithField("environment", o.Environment)
	return &Watcher{o: o, key: Key(o.Environment, o.Stage)}
}

// InForce returns the document in force. Its version is zero if there is none
// yet.
func (w *Watcher) InForce() Active {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.current
}

// Rejected returns the newest version if it was not put in force.
func (w *Watcher) Rejected() (Rejected, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.rejected == nil {
		return Rejected{}, false
	}
	return *w.rejected, true
}

// Run watches the document until ctx ends, and returns the error of ctx.
func (w *Watcher) Run(ctx context.Context) error {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = initialRetryDelay
	delays.MaxInterval = w.o.MaxRetryDelay
	delays.RandomizationFactor = retryJitter
	for ctx.Err() == nil {
		start := time.Now()
		err := w.follow(ctx)
		// The backoff applies to failures in close succession only.
		if err == nil || time.Since(start) > w.o.MaxRetryDelay {
			delays.Reset()
		}
		if err == nil || ctx.Err() != nil {
			continue
		}
		w.o.Logger.WithError(err).Debug("document watch failed")
		// The loop condition checks ctx.
		_ = wait.Sleep(ctx, max(delays.NextBackOff(), retryAfter(err)))
	}
	return ctx.Err()
}

// retryAfter returns the pause that the platform asks for before a retry, or zero.
func retryAfter(err error) time.Duration {
	var unavailable *metastore.UnavailableError
	if errors.As(err, &unavailable) {
		return unavailable.RetryAfter
	}
	return 0
}

// follow lists the document once and watches it until the next listing is due or
// the watch fails.
func (w *Watcher) follow(ctx context.Context) error {
	objects, version, err := w.o.Store.List(ctx, w.key)
	if err != nil {
		return err
	}
	for _, o := range objects {
		w.handleEvent(metastore.Event{Object: o})
	}
	ctx, cancel := context.WithTimeout(ctx, w.nextRelist())
	defer cancel()
	err = w.o.Store.Watch(ctx, w.key, version, w.handleEvent)
	if errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return err
}

// nextRelist returns the time until the next listing. It is random, so that
// processes that started together do not list at the same time.
func (w *Watcher) nextRelist() time.Duration {
	return time.Duration(float64(w.o.RelistInterval) * (1 - relistJitter*w.o.Random()))
}

// handleEvent puts the document of an event in force if it is newer than all before
// it. Events may also be of other keys that start with the document's key.
func (w *Watcher) handleEvent(e metastore.Event) {
	if e.Object.Key != w.key || e.Deleted || !w.advanceTo(e.Object.Version) {
		return
	}
	next, err := decodeObject(e.Object)
	w.recordResult(next, e.Object.Version, err)
	if err != nil {
		w.o.Logger.WithError(err).WithField("version", e.Object.Version).Error("document rejected")
		return
	}
	w.o.Logger.WithField("version", next.Version).WithField("digest", next.Digest).Info("document in force")
	w.o.OnChange(next)
}

// advanceTo records a version as seen. It reports whether the version is newer than
// all seen before.
func (w *Watcher) advanceTo(v metastore.Version) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if v <= w.lastSeen {
		return false
	}
	w.lastSeen = v
	return true
}

func (w *Watcher) recordResult(next Active, v metastore.Version, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.rejected = &Rejected{Version: v, Err: err}
		return
	}
	w.current, w.rejected = next, nil
}

func decodeObject(o metastore.Object) (Active, error) {
	e, err := decodeEnvelope(o.Value)
	if err != nil {
		return Active{}, err
	}
	d, err := e.Parse()
	if err != nil {
		return Active{}, err
	}
	return Active{Document: d, Version: o.Version, Digest: e.Digest}, nil
}
