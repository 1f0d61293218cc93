package fleet

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// Defaults of Options.
const (
	// DefaultOutageAfter is the silence of the store after which registrations
	// may have expired without their servers being gone; servers renew them about
	// every second and expire after three missed renewals.
	DefaultOutageAfter = 2500 * time.Millisecond
	// DefaultReturnGrace is how long a server may take to register again after
	// an outage; the platform promises about two seconds.
	DefaultReturnGrace = 2500 * time.Millisecond
)

// Options configures a Roster.
type Options struct {
	OutageAfter time.Duration
	ReturnGrace time.Duration
}

// Tracker is the belief about the VMs.
type Tracker struct {
	opts Options
	vms  map[ident.VM]*VM
	// listedAt is when the last listing began, and graceUntil until when a VM that
	// is missing from a listing may still be alive.
	listedAt   time.Time
	graceUntil time.Time
}

// NewTracker returns a Roster that knows no VM.
func NewTracker(o Options) *Tracker {
	if o.OutageAfter == 0 {
		o.OutageAfter = DefaultOutageAfter
	}
	if o.ReturnGrace == 0 {
		o.ReturnGrace = DefaultReturnGrace
	}
	return &Tracker{opts: o, vms: make(map[ident.VM]*VM)}
}

// Known tells whether any listing has been taken.
func (r *Tracker) Known() bool { return !r.listedAt.IsZero() }

// ListedAt is when the newest listing was asked for.
func (r *Tracker) ListedAt() time.Time { return r.listedAt }

// VMs returns the VMs by id. The map must not be changed.
func (r *Tracker) VMs() map[ident.VM]*VM { return r.vms }

// Get returns a VM, or nil.
func (r *Tracker) Get(id ident.VM) *VM { return r.vms[id] }

// Update replaces the belief by a whole listing that was asked for at begun, and
// returns what changed. After a silence of the store, VMs that are missing are
// kept for a while: registrations expire while nobody can renew them.
func (r *Tracker) Update(begun time.Time, listed []VM) []Change {
	if r.Known() && begun.Sub(r.listedAt) > r.opts.OutageAfter {
		r.graceUntil = begun.Add(r.opts.ReturnGrace)
	}
	r.listedAt = begun
	var changes []Change
	seen := make(map[ident.VM]bool, len(listed))
	for i := range listed {
		v := listed[i]
		seen[v.ID] = true
		if kind, changed := r.change(&v); changed {
			r.vms[v.ID] = &v
			changes = append(changes, Change{Kind: kind, VM: &v})
		}
	}
	if begun.Before(r.graceUntil) {
		return changes
	}
	for id, v := range r.vms {
		if !seen[id] {
			delete(r.vms, id)
			changes = append(changes, Change{Kind: Removed, VM: v})
		}
	}
	return changes
}

func (r *Tracker) change(v *VM) (ChangeKind, bool) {
	old := r.vms[v.ID]
	switch {
	case old == nil:
		return Joined, true
	case !old.SameInstance(v):
		return Restarted, true
	case v.Leaving && !old.Leaving:
		return Leaving, true
	case !old.equal(v):
		return Updated, true
	}
	return "", false
}
