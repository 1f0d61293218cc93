package grant

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/platform"
)

// Plan returns the grant that in calls for, and whether it differs from g. It
// keeps slots where they are and spreads new ones over regions, availability
// zones and VMs. It frees only slots of VMs that are gone; any other slot is
// marked revoking and left to its holder.
//
// The number of slots never rises above the limit, and while it is above a
// lowered limit it never rises at all.
func Plan(g Grant, in Input) (Grant, bool) {
	if in.Document < g.Document {
		return g, false
	}
	p := planner{g: g.clone(), in: in}
	p.setLimit()
	p.dropGone()
	p.revokeMisplaced()
	p.revokeExcess()
	p.restore()
	p.fill()
	return p.g, p.changed
}

// planner is one run of Plan.
type planner struct {
	g       Grant
	in      Input
	changed bool
}

func (p *planner) setLimit() {
	if p.g.Limit != p.in.Limit {
		p.g.Limit = p.in.Limit
		p.g.Document = p.in.Document
		p.changed = true
	}
}

func (p *planner) dropGone() {
	before := len(p.g.Slots)
	p.g.Slots = slices.DeleteFunc(p.g.Slots, func(s Slot) bool { return p.in.Gone(s.VM) })
	p.changed = p.changed || len(p.g.Slots) != before
}

// revokeMisplaced revokes the slots of VMs that are leaving or belong to
// another upstream. VMs that the list does not show keep theirs.
func (p *planner) revokeMisplaced() {
	for i, s := range p.g.Slots {
		if v, ok := p.in.VMs[s.VM]; s.State == Held && ok && !p.suits(v) {
			p.revoke(i)
		}
	}
}

// suits tells whether a listed VM may have a slot of the model.
func (p *planner) suits(v platform.VM) bool {
	return v.Role == platform.RoleAgent && v.Upstream == p.in.Upstream && !v.Leaving
}

// revokeExcess revokes held slots over the limit, first those of the region
// that has the most.
func (p *planner) revokeExcess() {
	for p.g.count(Held) > p.g.Limit {
		p.revoke(p.leastWanted())
	}
}

func (p *planner) leastWanted() int {
	best := -1
	for i, s := range p.g.Slots {
		if s.State == Held && (best < 0 || p.compare(s.VM, p.g.Slots[best].VM) > 0) {
			best = i
		}
	}
	return best
}

func (p *planner) revoke(i int) {
	p.g.Slots[i].State = Revoking
	p.changed = true
}

// restore turns revoking slots back to held where the limit allows it, under a
// new fence: the holder may have begun to give up the old one.
func (p *planner) restore() {
	for i, s := range p.g.Slots {
		if s.State != Revoking || s.Returned || !p.suits(p.in.VMs[s.VM]) || p.g.count(Held) >= p.g.Limit {
			continue
		}
		p.g.Last++
		p.g.Slots[i] = Slot{VM: s.VM, Fence: p.g.Last, State: Held}
		p.changed = true
	}
}

// fill gives slots to the best VMs that have none.
func (p *planner) fill() {
	for len(p.g.Slots) < p.g.Limit {
		vm, ok := p.bestVM()
		if !ok {
			return
		}
		p.g.Last++
		p.g.Slots = append(p.g.Slots, Slot{VM: vm, Fence: p.g.Last, State: Held})
		p.changed = true
	}
}

func (p *planner) bestVM() (ident.VM, bool) {
	var best ident.VM
	for _, v := range p.in.VMs {
		if !p.suits(v) || p.g.index(v.ID) >= 0 {
			continue
		}
		if best == "" || p.compare(v.ID, best) < 0 {
			best = v.ID
		}
	}
	return best, best != ""
}

// compare puts the VM first that serves the spread better.
func (p *planner) compare(a, b ident.VM) int {
	va, vb := p.in.VMs[a], p.in.VMs[b]
	return cmp.Or(
		cmp.Compare(p.slotsIn(va, sameRegion), p.slotsIn(vb, sameRegion)),
		cmp.Compare(p.slotsIn(va, sameZone), p.slotsIn(vb, sameZone)),
		cmp.Compare(p.lacksMemory(a), p.lacksMemory(b)),
		cmp.Compare(p.in.Slots[a], p.in.Slots[b]),
		cmp.Compare(rank(p.in.Model, a), rank(p.in.Model, b)),
		cmp.Compare(a, b),
	)
}

// slotsIn counts the other slots of the model near v.
func (p *planner) slotsIn(v platform.VM, near func(a, b platform.VM) bool) int {
	n := 0
	for _, s := range p.g.Slots {
		if w, ok := p.in.VMs[s.VM]; ok && s.State == Held && w.ID != v.ID && near(v, w) {
			n++
		}
	}
	return n
}

func sameRegion(a, b platform.VM) bool { return a.Region == b.Region }

func sameZone(a, b platform.VM) bool { return a.Zone == b.Zone }

func (p *planner) lacksMemory(vm ident.VM) int {
	if free, ok := p.in.FreeMB[vm]; ok && free < p.in.NeedMB {
		return 1
	}
	return 0
}

// rank orders VMs for a model by rendezvous hashing, the lowest first.
func rank(m ident.Model, vm ident.VM) uint64 {
	return xxhash.Sum64String(string(m) + "\x00" + string(vm))
}
