package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/wire"
)

// View is who is there, as far as one process knows. Its driver guards it with a
// lock.
type View struct {
	opts    Options
	members map[ident.VM]*Member
	gone    map[ident.VM]time.Time
}

// New returns an empty view.
func New(o Options) *View {
	return &View{
		opts:    o.withDefaults(),
		members: make(map[ident.VM]*Member),
		gone:    make(map[ident.VM]time.Time),
	}
}

// ApplyListing takes a whole list of VMs as read now. An instance that was listed and
// is no more is gone for good. A list that could not be read is no event.
func (v *View) ApplyListing(now time.Time, vms []metastore.VM) {
	present := make(map[ident.VM]bool, len(vms))
	for _, vm := range vms {
		present[vm.ID] = true
		if _, gone := v.gone[vm.ID]; !gone {
			v.listedOne(now, vm)
		}
	}
	for id, m := range v.members {
		overdue := !m.listed && now.Sub(m.firstSeen) >= v.opts.Unlisted
		if !present[id] && (m.listed || overdue) {
			v.remove(now, id)
		}
	}
	for id, since := range v.gone {
		if now.Sub(since) >= v.opts.Gone && !present[id] {
			delete(v.gone, id)
		}
	}
}

func (v *View) listedOne(now time.Time, vm metastore.VM) {
	m := v.member(now, vm.ID)
	if !m.listed {
		m.listed = true
		m.Role, m.Region, m.Zone, m.Address, m.Upstream = vm.Role, vm.Region, vm.Zone, vm.Address, vm.Upstream
		v.replace(m)
	}
	m.Leaving = m.Leaving || vm.Leaving
}

// replace marks the members that had the address of m before it was listed. The
// platform gives an address out again only when its VM has ended, though the
// list may still show that VM.
func (v *View) replace(m *Member) {
	for _, other := range v.members {
		if other != m && other.Address == m.Address && other.firstSeen.Before(m.firstSeen) {
			other.Replaced = true
		}
	}
}

// Reported takes a report and tells whether it was news. Direct is set for one
// that came over a connection to the VM itself.
func (v *View) Reported(now time.Time, r *wire.Report, direct bool) bool {
	if _, gone := v.gone[r.VM]; gone {
		return false
	}
	m := v.member(now, r.VM)
	if !m.newer(r, direct) {
		return false
	}
	m.take(r)
	return true
}

// Connected follows the own connection to a VM.
func (v *View) Connected(id ident.VM, link Link) {
	if m, ok := v.members[id]; ok {
		m.Link = link
	}
}

// Member returns what is known of an instance, and false if it is not there.
func (v *View) Member(id ident.VM) (Member, bool) {
	m, ok := v.members[id]
	if !ok {
		return Member{}, false
	}
	return *m, true
}

// Incarnation returns the incarnation to name in a dispatch, and false if the VM
// may get no new work.
func (v *View) Incarnation(id ident.VM) (ident.Incarnation, bool) {
	m, ok := v.members[id]
	if !ok || !m.Usable() {
		return 0, false
	}
	return m.Report.Incarnation, true
}

// Candidates returns the members of an upstream that may get new work, by name.
func (v *View) Candidates(u ident.Upstream) []Member {
	return v.collect(func(m *Member) bool {
		return m.Role == metastore.RoleAgent && m.Upstream == u && m.Usable()
	})
}

// Routers returns the routers of a region that are not leaving, or of all
// regions if it is empty, by name. A router counts before its first report.
func (v *View) Routers(region ident.Region) []Member {
	return v.collect(func(m *Member) bool {
		draining := m.Report != nil && m.Report.Draining
		return m.Role == metastore.RoleRouter && !m.Leaving && !draining && !m.Replaced &&
			(region == "" || m.Region == region)
	})
}

func (v *View) collect(keep func(*Member) bool) []Member {
	var out []Member
	for _, m := range v.members {
		if keep(m) {
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
	v.gone[id] = now
}
