package coldstart

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// Query asks where one request goes.
type Query struct {
	Model ident.Model
	// MemoryMB is what a replica of the model reserves, in MiB.
	MemoryMB int64
	// Slots are the model's rights, in any order.
	Slots []Slot
	// Candidates describe the VMs of the slots, in any order. A slot without a
	// candidate is taken as unreachable.
	Candidates []Candidate
	// Home is the region whose slots come first among equals. All routers must
	// give the same one. Empty if none is known.
	Home ident.Region
	// ServiceTime is how long one request of the model takes. Zero takes that of
	// the Config.
	ServiceTime time.Duration
	Now         time.Time
	// Deadline is when the first token is due. Zero means that there is none.
	Deadline time.Time
}

// inTime tells whether a time to the first token keeps the deadline.
func (q Query) inTime(d time.Duration) bool {
	return q.Deadline.IsZero() || !q.Now.Add(d).After(q.Deadline)
}
