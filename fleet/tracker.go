package fleet

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// Defaults of Options.
const (
	// DefaultOutageAfter is the time without a listing after which registrations
	// may have expired although their servers are running. Servers renew them
	// about every second, and they expire after three missed renewals.
	DefaultOutageAfter = 2500 * time.Millisecond
	// DefaultReturnGrace is how long a server may take to register again after
	// an outage. The platform promises about two seconds.
	DefaultReturnGrace = 2500 * time.Millisecond
)

// Options configures a Tracker. Zero fields take the defaults.
type Options struct {
	OutageAfter time.Duration
	ReturnGrace time.Duration
}

// Tracker holds the known VMs.
type Tracker struct {
	opts Options
	vms  map[ident.VM]*VM
	// listedAt is when the last listing began. Until graceEnd, a VM that is
	// missing from a listing may still be running.
	listedAt time.Time
	graceEnd time.Time
}

// NewTracker returns a Tracker without VMs.
func NewTracker(o Options) *Tracker {
	if o.OutageAfter == 0 {
		o.OutageAfter = DefaultOutageAfter
	}
	if o.ReturnGrace == 0 {
		o.ReturnGrace = DefaultReturnGrace
	}
	return &Tracker{opts: o, vms: make(map[ident.VM]*VM)}
}

// HasListing reports whether Update has been called.
func (t *Tracker) HasListing() bool { return !t.listedAt.IsZero() }

// ListedAt returns when the newest listing began.
func (t *Tracker) ListedAt() time.Time { return t.listedAt }

// VMs returns the VMs by id. The map must not be changed.
func (t *Tracker) VMs() map[ident.VM]*VM { return t.vms }

// Get returns a VM, or nil.
func (t *Tracker) Get(id ident.VM) *VM { return t.vms[id] }

// Update replaces the known VMs by a complete listing that began at begun, and
// returns the changes. After an outage of the store, missing VMs are kept for
// the grace period, because registrations expire while servers cannot renew
// them.
func (t *Tracker) Update(begun time.Time, listed []VM) []Change {
	if t.HasListing() && begun.Sub(t.listedAt) > t.opts.OutageAfter {
		t.graceEnd = begun.Add(t.opts.ReturnGrace)
	}
	t.listedAt = begun
	var changes []Change
	seen := make(map[ident.VM]bool, len(listed))
	for i := range listed {
		v := listed[i]
		seen[v.ID] = true
		if kind, changed := t.classify(&v); changed {
			t.vms[v.ID] = &v
			changes = append(changes, Change{Kind: kind, VM: &v})
		}
	}
	if begun.Before(t.graceEnd) {
		return changes
	}
	for id, v := range t.vms {
		if !seen[id] {
			delete(t.vms, id)
			changes = append(changes, Change{Kind: Removed, VM: v})
		}
	}
	return changes
}

func (t *Tracker) classify(v *VM) (ChangeKind, bool) {
	old := t.vms[v.ID]
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
