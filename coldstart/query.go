package coldstart

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// Query describes one request and the VMs that can serve it.
type Query struct {
	Model ident.Model
	// MemoryMB is the accelerator memory of a replica, in MiB.
	MemoryMB int64
	// Slots are the slots of the model, in any order.
	Slots []Slot
	// Candidates describe the VMs of the slots, in any order. A slot without a
	// candidate counts as unreachable.
	Candidates []Candidate
	// Home is the region preferred among VMs with the same tier. All routers must
	// pass the same one. Empty if there is none.
	Home ident.Region
	// ServiceTime is the duration of one request of the model. Zero means
	// Config.ServiceTime.
	ServiceTime time.Duration
	Now         time.Time
	// Deadline is when the first token is due. Zero means no deadline.
	Deadline time.Time
}

// meetsDeadline reports whether a first token after d meets the deadline.
func (q Query) meetsDeadline(d time.Duration) bool {
	return q.Deadline.IsZero() || !q.Now.Add(d).After(q.Deadline)
}
