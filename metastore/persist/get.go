package persist

import (
	"context"
	"errors"

	"github.com/laureltally/laureltally/metastore"
)

// GetAtLeast reads an object that is known to have reached the version atLeast. A
// missing object has version zero and is no error if atLeast is zero. An object
// with a version below atLeast, or a missing one if atLeast is positive, is a
// *StaleReadError.
func GetAtLeast(ctx context.Context, s metastore.Store, key string, atLeast metastore.Version) (metastore.Object, error) {
	o, err := s.Get(ctx, key)
	var notFound *metastore.NotFoundError
	if errors.As(err, &notFound) {
		o, err = metastore.Object{Key: key}, nil
	}
	if err == nil && o.Version < atLeast {
		err = &StaleReadError{Key: key, Got: o.Version, Wanted: atLeast}
	}
	return o, err
}
