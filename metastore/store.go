package metastore

import "context"

// MaxValueBytes is the maximum size of a value, in bytes.
const MaxValueBytes = 1 << 20

// Store is the platform's object API.
//
// Any call may fail with *UnavailableError. A Put or Delete that fails this way
// may or may not have taken effect: the caller has to read the object again.
type Store interface {
	// Get returns the object at key, or *NotFoundError.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes value if the object's version equals expect and returns the
	// new version. An expect of zero creates the object and requires that none
	// exists. A mismatch is a *ConflictError.
	Put(ctx context.Context, key string, value []byte, expect Version) (Version, error)
	// Delete removes the object if its version equals expect.
	Delete(ctx context.Context, key string, expect Version) error
	// List returns the objects whose keys start with prefix, in key order, and
	// the version of the store that the listing reflects.
	List(ctx context.Context, prefix string) ([]Object, Version, error)
	// Watch passes to deliver the changes that are newer than since, to keys that
	// start with prefix. It returns when ctx ends or the watch fails. After a
	// failure the caller lists again and watches from the version of the listing.
	Watch(ctx context.Context, prefix string, since Version, deliver func(Event)) error
}
