package persist

import (
	"bytes"
	"context"
	"errors"

	"github.com/laureltally/laureltally/metastore"
)

// Put writes a value that no other writer writes. It retries until the result is
// definite or ctx ends. Retrying is safe, since the condition lets at most one of
// the writes take effect. A conflict with an object that has the same value counts
// as success.
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
