package persist

import (
	"context"
	"errors"

	"github.com/cenkalti/backoff/v5"

	"github.com/laureltally/laureltally/metastore"
)

// Retry repeats an operation while the platform is away or answers from the
// past, until ctx ends. Pauses grow and are random, and none is shorter than the
// platform asked for.
func Retry[T any](ctx context.Context, op func() (T, error)) (T, error) {
	return backoff.Retry(ctx, func() (T, error) {
		v, err := op()
		return v, classify(err)
	}, backoff.WithBackOff(backoff.NewExponentialBackOff()), backoff.WithMaxElapsedTime(0))
}

// classify tells the loop whether and when to try again.
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

// Transient tells whether another attempt may fare better.
func Transient(err error) bool {
	var (
		unavailable *metastore.UnavailableError
		stale       *StaleReadError
	)
	return errors.As(err, &unavailable) || errors.As(err, &stale)
}
