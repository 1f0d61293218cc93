package persist

import (
	"context"
	"errors"

	"github.com/cenkalti/backoff/v5"

	"github.com/laureltally/laureltally/metastore"
)

// Retry repeats an operation while the platform is unavailable or reads are stale,
// until ctx ends. Pauses grow exponentially with jitter, and none is shorter than
// the platform asked for.
func Retry[T any](ctx context.Context, op func() (T, error)) (T, error) {
	return backoff.Retry(ctx, func() (T, error) {
		v, err := op()
		return v, classify(err)
	}, backoff.WithBackOff(backoff.NewExponentialBackOff()), backoff.WithMaxElapsedTime(0))
}

// classify returns err as backoff.Retry expects it: nil, retryable, retryable after
// the pause that the platform asked for, or permanent.
func classify(err error) error {
	var unavailable *metastore.UnavailableError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &unavailable) && unavailable.RetryAfter > 0:
		return &backoff.RetryAfterError{Duration: unavailable.RetryAfter}
	case Transient(err):
		return err
	default:
		return backoff.Permanent(err)
	}
}

// Transient reports whether a call that failed with err may succeed if it is
// retried.
func Transient(err error) bool {
	var (
		unavailable *metastore.UnavailableError
		stale       *StaleReadError
	)
	return errors.As(err, &unavailable) || errors.As(err, &stale)
}
