package metastore

import "context"

// MaxValueBytes is the largest value that the object API holds, in bytes.
const MaxValueBytes = 1 << 20

// Store is the platform's object API.
//
// Calls may fail with *UnavailableError, in which case a Put or Delete may or
// may not have taken effect: the caller has to read the object again.
type Store interface {
	// Get returns the object at key, or *NotFoundError.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes value if the object's version equals expect and returns the
	// new version. An expect of zero creates the object and demands that there
	// is none. A mismatch is a *ConflictError.
	Put(ctx context.Context, key string, value []byte, expect Version) (Version, error)
	// Delete removes the object if its version equals expect.
	Delete(ctx context.Context, key string, expect Version) error
	// List returns the objects whose keys start with prefix, in key order, and
	// the version of the store that the listing reflects.
	List(ctx context.Context, prefix string) ([]Object, Version, error)
	// Watch delivers the changes to keys below prefix that are newer than
	// since. It ends with ctx or with an error, after which the caller lists
	// again and watches from there.
	Watch(ctx context.Context, prefix string, since Version, deliver func(Event)) error
}
