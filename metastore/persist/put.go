package persist

import (
	"bytes"
	"context"
	"errors"

	"github.com/laureltally/laureltally/metastore"
)

// Put writes a value that no other writer writes, until it has a definite
// answer or ctx ends. Repeating is safe, since the condition lets at most one of
// the repetitions take effect; a conflict with the own value is a success.
func Put(ctx context.Context, s metastore.Store, key string, value []byte, expect metastore.Version) (metastore.Version, error) {
	return Retry(ctx, func() (metastore.Version, error) {
		v, err := s.Put(ctx, key, value, expect)
		var conflict *metastore.ConflictError
		if !errors.As(err, &conflict) {
			return v, err
		}
		current, readErr := GetAtLeast(ctx, s, key, conflict.Actual)
		if readErr != nil {
			return 0, readErr
		}
		if bytes.Equal(current.Value, value) {
			return current.Version, nil
		}
		return 0, err
	})
}
