package serving

import "sync/atomic"

// CurrentConfig holds the newest configuration of a process. It is safe for
// concurrent use.
type CurrentConfig struct{ current atomic.Pointer[Snapshot] }

// Get returns the current configuration, or nil before the first.
func (f *CurrentConfig) Get() *Snapshot { return f.current.Load() }

// Adopt replaces the current configuration if the given one is newer, and reports
// whether it did. The result of a read that was overtaken by another is ignored.
func (f *CurrentConfig) Adopt(c *Config) bool {
	next := &Snapshot{Config: c, Table: NewTable(c.Routes), Priorities: NewPriorityTable(c)}
	for {
		old := f.current.Load()
		if old != nil && !c.Supersedes(old.Config) {
			return false
		}
		if f.current.CompareAndSwap(old, next) {
			return true
		}
	}
}
