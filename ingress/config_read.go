package ingress

import (
	"time"

	"github.com/laureltally/laureltally/serving"
)

// configRead is what the newest successful read of the configuration has shown. It is
// replaced as a whole, so that a request never combines the age of one read with the keys
// of another. A nil *configRead means that there was none.
type configRead struct {
	// begun is when the read began, from the server's epoch. Durations from a time with
	// a monotonic reading don't change when the wall clock is stepped.
	begun time.Duration
	// snap is the configuration in force.
	snap *serving.Snapshot
	// stored holds the keys in the store, if these are not the ones in force: a store that
	// was restored from an older copy holds an older configuration, which is not adopted,
	// but what is removed from it counts. It is nil as well if that one has no tenants.
	stored *serving.KeyTable
}

// newConfigRead returns the result of a read that began at a time since the epoch and
// returned c, while snap is in force.
func newConfigRead(begun time.Duration, c *serving.Config, snap *serving.Snapshot) *configRead {
	r := &configRead{begun: begun, snap: snap}
	if c.Revision != snap.Config.Revision {
		r.stored = c.Keys
	}
	return r
}

// hasKey reports whether a key of the configuration in force is also in the store.
func (r *configRead) hasKey(key string, tenant *serving.Tenant) bool {
	if r.stored == nil {
		return true
	}
	t := r.stored.Lookup(key)
	return t != nil && t.Name == tenant.Name
}
