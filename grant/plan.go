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
	// regions and zones count the held slots of the model, as of the last tally.
	regions map[ident.Region]int
	zones   map[ident.Zone]int
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
	p.tally()
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
	p.tally()
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

// compare puts the VM first that serves the spread better. Either both VMs hold
// a slot or neither does, so their own slots need no discount.
func (p *planner) compare(a, b ident.VM) int {
	va, vb := p.in.VMs[a], p.in.VMs[b]
	return cmp.Or(
		cmp.Compare(p.regions[va.Region], p.regions[vb.Region]),
		cmp.Compare(p.zones[va.Zone], p.zones[vb.Zone]),
		cmp.Compare(p.lacksMemory(a), p.lacksMemory(b)),
		cmp.Compare(p.in.Slots[a], p.in.Slots[b]),
		cmp.Compare(rank(p.in.Model, a), rank(p.in.Model, b)),
		cmp.Compare(a, b),
	)
}

// tally counts the held slots of the model by region and availability zone.
func (p *planner) tally() {
	p.regions, p.zones = make(map[ident.Region]int), make(map[ident.Zone]int)
	for _, s := range p.g.Slots {
		if v, ok := p.in.VMs[s.VM]; ok && s.State == Held {
			p.regions[v.Region]++
			p.zones[v.Zone]++
		}
	}
}

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
