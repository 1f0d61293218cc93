package serving

import "sync/atomic"

// CurrentConfig holds the newest configuration that a process knows. It may be used
// concurrently.
type CurrentConfig struct{ current atomic.Pointer[Snapshot] }

// Get returns the configuration in force, or nil before the first.
func (f *CurrentConfig) Get() *Snapshot { return f.current.Load() }

// Adopt puts a configuration into force if it is newer than the present one, and
// tells whether it did. A read that was overtaken by another changes nothing.
func (f *CurrentConfig) Adopt(c *Config) bool {
	next := &Snapshot{Config: c, Table: NewTable(c.Routes)}
	for {
		old := f.current.Load()
		if old != nil && old.Config.Revision >= c.Revision {
			return false
		}
		if f.current.CompareAndSwap(old, next) {
			return true
		}
	}
}
