package persist

import (
	"context"
	"errors"

	"github.com/laureltally/laureltally/metastore"
)

// GetAtLeast reads an object that is known to have reached a version. A missing
// object has version zero and is no error unless atLeast is positive. An older
// answer is a *StaleReadError.
func GetAtLeast(ctx context.Context, s metastore.Store, key string, atLeast metastore.Version) (metastore.Object, error) {
	o, err := s.Get(ctx, key)
	var missing *metastore.NotFoundError
	if errors.As(err, &missing) {
		o, err = metastore.Object{Key: key}, nil
	}
	if err == nil && o.Version < atLeast {
		err = &StaleReadError{Key: key, Got: o.Version, Wanted: atLeast}
	}
	return o, err
}
