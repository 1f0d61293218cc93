package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/wire"
)

// View is the set of members known to one process. It is not safe for
// concurrent use; its owner guards it with a lock.
type View struct {
	opts    Options
	members map[ident.VM]*Member
	removed map[ident.VM]time.Time
}

// New returns an empty view.
func New(o Options) *View {
	return &View{
		opts:    o.withDefaults(),
		members: make(map[ident.VM]*Member),
		removed: make(map[ident.VM]time.Time),
	}
}

// ApplyListing applies a complete list of VMs read at now. An instance that was
// listed and is missing now is removed, and so is a missing one that was never
// listed within UnlistedTimeout. A removed instance is not added again for
// RemovedRetention or while it is listed. Don't call ApplyListing for a list
// that could not be read.
func (v *View) ApplyListing(now time.Time, vms []metastore.VM) {
	present := make(map[ident.VM]bool, len(vms))
	for _, vm := range vms {
		present[vm.ID] = true
		if _, removed := v.removed[vm.ID]; !removed {
			v.applyListed(now, vm)
		}
	}
	for id, m := range v.members {
		overdue := !m.listed && now.Sub(m.firstSeen) >= v.opts.UnlistedTimeout
		if !present[id] && (m.listed || overdue) {
			v.remove(now, id)
		}
	}
	for id, since := range v.removed {
		if now.Sub(since) >= v.opts.RemovedRetention && !present[id] {
			delete(v.removed, id)
		}
	}
}

func (v *View) applyListed(now time.Time, vm metastore.VM) {
	m := v.member(now, vm.ID)
	if !m.listed {
		m.listed = true
		m.Role, m.Region, m.Zone, m.Address, m.Upstream = vm.Role, vm.Region, vm.Zone, vm.Address, vm.Upstream
		v.markReplaced(m)
	}
	m.Leaving = m.Leaving || vm.Leaving
}

// markReplaced marks the members that had the address of m before it was
// listed. The platform reuses an address only after its VM has ended, though
// the list may still show that VM.
func (v *View) markReplaced(m *Member) {
	for _, other := range v.members {
		if other != m && other.Address == m.Address && other.firstSeen.Before(m.firstSeen) {
			other.Replaced = true
		}
	}
}

// ApplyReport applies a report and reports whether it was newer than the
// current one. Set direct for a report received over a connection to the VM
// itself.
func (v *View) ApplyReport(now time.Time, r *wire.Report, direct bool) bool {
	if _, removed := v.removed[r.VM]; removed {
		return false
	}
	m := v.member(now, r.VM)
	if !m.supersedesReport(r, direct) {
		return false
	}
	m.applyReport(r)
	return true
}

// SetLink sets the state of this process's connection to a VM.
func (v *View) SetLink(id ident.VM, link Link) {
	if m, ok := v.members[id]; ok {
		m.Link = link
	}
}

// Member returns an instance, or false if it is not a member.
func (v *View) Member(id ident.VM) (Member, bool) {
	m, ok := v.members[id]
	if !ok {
		return Member{}, false
	}
	return *m, true
}

// Incarnation returns the incarnation to name in a dispatch, or false if the VM
// may not get new work.
func (v *View) Incarnation(id ident.VM) (ident.Incarnation, bool) {
	m, ok := v.members[id]
	if !ok || !m.Usable() {
		return 0, false
	}
	return m.Report.Incarnation, true
}

// Candidates returns the members of an upstream that may get new work, sorted
// by ID.
func (v *View) Candidates(u ident.Upstream) []Member {
	return v.filter(func(m *Member) bool {
		return m.Role == metastore.RoleAgent && m.Upstream == u && m.Usable()
	})
}

// Routers returns the routers of a region, or of all regions if it is empty,
// that are not leaving, sorted by ID. It includes routers that have not
// reported yet.
func (v *View) Routers(region ident.Region) []Member {
	return v.filter(func(m *Member) bool {
		draining := m.Report != nil && m.Report.Draining
		return m.Role == metastore.RoleRouter && !m.Leaving && !draining && !m.Replaced &&
			(region == "" || m.Region == region)
	})
}

func (v *View) filter(match func(*Member) bool) []Member {
	var out []Member
	for _, m := range v.members {
		if match(m) {
			out = append(out, *m)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

func (v *View) member(now time.Time, id ident.VM) *Member {
	m, ok := v.members[id]
	if !ok {
		m = &Member{ID: id, firstSeen: now}
		v.members[id] = m
	}
	return m
}

func (v *View) remove(now time.Time, id ident.VM) {
	delete(v.members, id)
	v.removed[id] = now
}
