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
	// DefaultReturnGrace is how long after an outage a server may take to register
	// again, as the platform promises. It is counted from the first listing, which
	// begins after the end of the outage.
	DefaultReturnGrace = 2 * time.Second
	// DefaultRestoreHold is how long after a restore of the store from an older copy
	// its listings may still name servers that have ended. The entries of such servers
	// expire after three missed renewals.
	DefaultRestoreHold = 5 * time.Second
	// goneMemory is how long a removed server is remembered. Copies are some seconds
	// old.
	goneMemory = 2 * time.Minute
)

// Options configures a Tracker. Zero fields take the defaults.
type Options struct {
	OutageAfter time.Duration
	ReturnGrace time.Duration
	RestoreHold time.Duration
}

// Tracker holds the known VMs.
type Tracker struct {
	opts Options
	vms  map[ident.VM]*VM
	// listedAt is when the last listing began.
	listedAt time.Time
	// absent holds the known VMs that the last listing lacks, with the time until which
	// each is kept.
	absent map[ident.VM]time.Time
	// graceEnd is until when every VM that a listing of a restored store lacks is kept.
	graceEnd time.Time
	// restores is that of the newest listing. Until holdEnd, a listing may be older
	// than the one before the newest restore.
	restores uint64
	holdEnd  time.Time
	// gone holds the instances that were removed, with the times of their removal.
	gone map[instance]time.Time
	// removals holds the announced removals of the known VMs.
	removals map[instance]removal
}

// instance identifies one start of a server.
type instance struct {
	id      ident.VM
	started int64
}

// NewTracker returns a Tracker without VMs.
func NewTracker(o Options) *Tracker {
	if o.OutageAfter == 0 {
		o.OutageAfter = DefaultOutageAfter
	}
	if o.ReturnGrace == 0 {
		o.ReturnGrace = DefaultReturnGrace
	}
	if o.RestoreHold == 0 {
		o.RestoreHold = DefaultRestoreHold
	}
	return &Tracker{opts: o, vms: make(map[ident.VM]*VM), absent: make(map[ident.VM]time.Time), gone: make(map[instance]time.Time), removals: make(map[instance]removal)}
}

// HasListing reports whether Update has been called.
func (t *Tracker) HasListing() bool { return !t.listedAt.IsZero() }

// ListedAt returns when the newest listing began.
func (t *Tracker) ListedAt() time.Time { return t.listedAt }

// VMs returns the VMs by id. The map must not be changed.
func (t *Tracker) VMs() map[ident.VM]*VM { return t.vms }

// Get returns a VM, or nil.
func (t *Tracker) Get(id ident.VM) *VM { return t.vms[id] }

// ListedSince reports whether a listing began after a time, and if so, whether the newest one has
// the same start of a VM at the same software version.
func (t *Tracker) ListedSince(at time.Time, vm *VM) (listed, same bool) {
	now := t.vms[vm.ID]
	return t.listedAt.After(at), now != nil && !t.lacked(vm.ID) && now.SameInstance(vm) && now.Software == vm.Software
}

// NextRemoval returns the earliest time at which a listing removes a VM that the last one
// lacks, or the zero time if it lacks none.
func (t *Tracker) NextRemoval() time.Time {
	var next time.Time
	for _, until := range t.absent {
		if next.IsZero() || until.Before(next) {
			next = until
		}
	}
	return next
}

// Absent returns how many VMs are kept although the last listing lacks them.
func (t *Tracker) Absent() int { return len(t.absent) }

// Update replaces the known VMs by a complete listing that began at begun, and
// returns the changes. VMs that the first listing after an outage lacks are kept for the
// grace period, because registrations expire while servers cannot renew them; a VM that is
// missing only later has left. After a restore of the store, VMs that any listing within the
// grace period lacks are kept, and the listing does not take back what an earlier one has
// shown: that a server has ended or is leaving.
func (t *Tracker) Update(begun time.Time, l Listing) []Change {
	if l.Restores < t.restores {
		return nil
	}
	restored := t.HasListing() && l.Restores > t.restores
	outage := restored || t.HasListing() && begun.Sub(t.listedAt) > t.opts.OutageAfter
	if restored {
		// An entry of the copy proves nothing: it may expire before its server renews it.
		t.graceEnd = begun.Add(t.opts.ReturnGrace)
		t.holdEnd = begun.Add(t.opts.RestoreHold)
	}
	previous := t.listedAt
	t.listedAt, t.restores = begun, l.Restores
	var changes []Change
	seen := make(map[ident.VM]bool, len(l.VMs))
	for i := range l.VMs {
		v := l.VMs[i]
		seen[v.ID] = true
		if begun.Before(t.holdEnd) && t.outdated(&v) {
			continue
		}
		t.observeRemoval(previous, &v)
		if kind, changed := t.classify(&v); changed {
			if kind == Restarted {
				t.markGone(begun, t.vms[v.ID])
			}
			t.vms[v.ID] = &v
			changes = append(changes, Change{Kind: kind, VM: &v})
		}
	}
	for id, v := range t.vms {
		if seen[id] {
			delete(t.absent, id)
			continue
		}
		if t.keeps(begun, id, outage) {
			continue
		}
		delete(t.vms, id)
		delete(t.absent, id)
		t.markGone(begun, v)
		changes = append(changes, Change{Kind: Removed, VM: v})
	}
	return changes
}

// keeps reports whether a VM that a listing lacks is kept, and records until when. Outage is
// set for the first listing after an outage or a restore.
func (t *Tracker) keeps(begun time.Time, id ident.VM, outage bool) bool {
	until, known := t.absent[id]
	switch {
	case outage:
		until = begun.Add(t.opts.ReturnGrace)
	case !known:
		until = t.graceEnd
	}
	t.absent[id] = until
	return begun.Before(until)
}

// outdated reports whether an entry of a restored listing is older than what is known
// of the server.
func (t *Tracker) outdated(v *VM) bool {
	if _, gone := t.gone[instance{v.ID, v.Started}]; gone {
		return true
	}
	old := t.vms[v.ID]
	return old != nil && old.SameInstance(v) && old.Leaving && !v.Leaving
}

func (t *Tracker) markGone(now time.Time, v *VM) {
	for i, at := range t.gone {
		if now.Sub(at) > goneMemory {
			delete(t.gone, i)
		}
	}
	id := instance{v.ID, v.Started}
	t.gone[id] = now
	delete(t.removals, id)
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
