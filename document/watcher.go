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

// Watcher brings each newer version of a document in force. It never goes back:
// reads from the past and a deleted document change nothing, and a document with
// problems leaves the one before in force. It is safe for concurrent use.
type Watcher struct {
	o   WatcherOptions
	key string

	mu       sync.Mutex
	current  Active
	seen     metastore.Version
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
	if o.Relist == 0 {
		o.Relist = DefaultRelist
	}
	if o.MaxRetry == 0 {
		o.MaxRetry = DefaultMaxRetry
	}
	if o.Random == nil {
		o.Random = rand.Float64
	}
	o.Logger = o.Logger.WithField("environment", o.Environment)
	return &Watcher{o: o, key: Key(o.Environment, o.Stage)}
}

// Active returns the document in force. Its version is zero if there is none
// yet.
func (w *Watcher) InForce() Active {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.current
}

// Rejected returns the newest version if it was not brought in force.
func (w *Watcher) Rejected() (Rejected, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.rejected == nil {
		return Rejected{}, false
	}
	return *w.rejected, true
}

// Run follows the document until ctx ends, whose error it returns.
func (w *Watcher) Run(ctx context.Context) error {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = minRetry
	pauses.MaxInterval = w.o.MaxRetry
	pauses.RandomizationFactor = retryJitter
	for ctx.Err() == nil {
		start := time.Now()
		err := w.follow(ctx)
		// A watch that lasted is no reason to keep away for long.
		if err == nil || time.Since(start) > w.o.MaxRetry {
			pauses.Reset()
		}
		if err == nil || ctx.Err() != nil {
			continue
		}
		w.o.Logger.WithError(err).Debug("document not watched")
		// The loop looks at ctx.
		_ = wait.Sleep(ctx, max(pauses.NextBackOff(), retryAfter(err)))
	}
	return ctx.Err()
}

// retryAfter returns when the platform asks to come back.
func retryAfter(err error) time.Duration {
	var unavailable *metastore.UnavailableError
	if errors.As(err, &unavailable) {
		return unavailable.RetryAfter
	}
	return 0
}

// follow lists once and watches until the next listing is due or the watch
// fails.
func (w *Watcher) follow(ctx context.Context) error {
	objects, version, err := w.o.Store.List(ctx, w.key)
	if err != nil {
		return err
	}
	for _, o := range objects {
		w.take(metastore.Event{Object: o})
	}
	ctx, cancel := context.WithTimeout(ctx, w.relist())
	defer cancel()
	err = w.o.Store.Watch(ctx, w.key, version, w.take)
	if errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return err
}

// relist draws the time until the next listing, so that processes that started
// together don't list together.
func (w *Watcher) relist() time.Duration {
	return time.Duration(float64(w.o.Relist) * (1 - relistJitter*w.o.Random()))
}

// take brings a change in force if it is newer than all before. Other keys may
// share the beginning of the document's.
func (w *Watcher) take(e metastore.Event) {
	if e.Object.Key != w.key || e.Deleted || !w.advance(e.Object.Version) {
		return
	}
	next, err := parse(e.Object)
	w.note(next, e.Object.Version, err)
	if err != nil {
		w.o.Logger.WithError(err).WithField("version", e.Object.Version).Error("document rejected")
		return
	}
	w.o.Logger.WithField("version", next.Version).WithField("digest", next.Digest).Info("document in force")
	w.o.OnChange(next)
}

// advance tells whether a version is newer than all that were seen.
func (w *Watcher) advance(v metastore.Version) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if v <= w.seen {
		return false
	}
	w.seen = v
	return true
}

func (w *Watcher) note(next Active, v metastore.Version, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.rejected = &Rejected{Version: v, Err: err}
		return
	}
	w.current, w.rejected = next, nil
}

func parse(o metastore.Object) (Active, error) {
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
