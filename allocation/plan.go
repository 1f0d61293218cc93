package allocation

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
)

// Plan returns the grant that in calls for, and whether it differs from g. It
// keeps slots where they are and spreads new ones over regions, availability
// zones and VMs. It frees only slots of VMs that are gone; any other slot is
// marked revoking and left to its holder.
//
// The number of slots never rises above the limit, and while it is above a
// lowered limit it never rises at all.
func Plan(g Allocation, in Input) (Allocation, bool) {
	if in.DocumentVersion < g.DocumentVersion {
		return g, false
	}
	d := draft{g: g.clone(), in: in}
	d.setLimit()
	d.dropGone()
	d.revokeMisplaced()
	d.revokeExcess()
	d.restore()
	d.fill()
	return d.g, d.changed
}

// draft is a grant in the making.
type draft struct {
	g       Allocation
	in      Input
	changed bool
	// regions and zones count the held slots of the model, as of the last tally.
	regions map[ident.Region]int
	zones   map[ident.Zone]int
}

func (d *draft) setLimit() {
	if d.g.Limit != d.in.Limit {
		d.g.Limit = d.in.Limit
		d.g.DocumentVersion = d.in.DocumentVersion
		d.changed = true
	}
}

func (d *draft) dropGone() {
	before := len(d.g.Slots)
	d.g.Slots = slices.DeleteFunc(d.g.Slots, func(s Slot) bool { return d.in.Removed(s.VM) })
	d.changed = d.changed || len(d.g.Slots) != before
}

// revokeMisplaced revokes the slots of VMs that are leaving or belong to
// another upstream. VMs that the list does not show keep theirs.
func (d *draft) revokeMisplaced() {
	for i, s := range d.g.Slots {
		if v, ok := d.in.VMs[s.VM]; s.State == Held && ok && !d.suits(v) {
			d.revoke(i)
		}
	}
}

// suits tells whether a listed VM may have a slot of the model.
func (d *draft) suits(v metastore.VM) bool {
	return v.Role == metastore.RoleAgent && v.Upstream == d.in.Upstream && !v.Leaving
}

// revokeExcess revokes held slots over the limit, first those of the region
// that has the most.
func (d *draft) revokeExcess() {
	for d.g.count(Held) > d.g.Limit {
		d.revoke(d.leastWanted())
	}
}

func (d *draft) leastWanted() int {
	d.tally()
	best := -1
	for i, s := range d.g.Slots {
		if s.State == Held && (best < 0 || d.compare(s.VM, d.g.Slots[best].VM) > 0) {
			best = i
		}
	}
	return best
}

func (d *draft) revoke(i int) {
	d.g.Slots[i].State = Revoking
	d.changed = true
}

// restore turns revoking slots back to held where the limit allows it, under a
// new fence: the holder may have begun to give up the old one.
func (d *draft) restore() {
	for i, s := range d.g.Slots {
		if s.State != Revoking || s.Returned || !d.suits(d.in.VMs[s.VM]) || d.g.count(Held) >= d.g.Limit {
			continue
		}
		d.g.LastFence++
		d.g.Slots[i] = Slot{VM: s.VM, Fence: d.g.LastFence, State: Held}
		d.changed = true
	}
}

// fill gives slots to the best VMs that have none.
func (d *draft) fill() {
	for len(d.g.Slots) < d.g.Limit {
		vm, ok := d.bestVM()
		if !ok {
			return
		}
		d.g.LastFence++
		d.g.Slots = append(d.g.Slots, Slot{VM: vm, Fence: d.g.LastFence, State: Held})
		d.changed = true
	}
}

func (d *draft) bestVM() (ident.VM, bool) {
	d.tally()
	var best ident.VM
	for _, v := range d.in.VMs {
		if !d.suits(v) || d.g.index(v.ID) >= 0 {
			continue
		}
		if best == "" || d.compare(v.ID, best) < 0 {
			best = v.ID
		}
	}
	return best, best != ""
}

// compare puts the VM first that serves the spread better. Either both VMs hold
// a slot or neither does, so their own slots need no discount.
func (d *draft) compare(a, b ident.VM) int {
	va, vb := d.in.VMs[a], d.in.VMs[b]
	return cmp.Or(
		cmp.Compare(d.regions[va.Region], d.regions[vb.Region]),
		cmp.Compare(d.zones[va.Zone], d.zones[vb.Zone]),
		cmp.Compare(d.lacksMemory(a), d.lacksMemory(b)),
		cmp.Compare(d.in.Slots[a], d.in.Slots[b]),
		cmp.Compare(rank(d.in.Model, a), rank(d.in.Model, b)),
		cmp.Compare(a, b),
	)
}

// tally counts the held slots of the model by region and availability zone.
func (d *draft) tally() {
	d.regions, d.zones = make(map[ident.Region]int), make(map[ident.Zone]int)
	for _, s := range d.g.Slots {
		if v, ok := d.in.VMs[s.VM]; ok && s.State == Held {
			d.regions[v.Region]++
			d.zones[v.Zone]++
		}
	}
}

func (d *draft) lacksMemory(vm ident.VM) int {
	if free, ok := d.in.FreeMB[vm]; ok && free < d.in.NeedMB {
		return 1
	}
	return 0
}

// rank orders VMs for a model by rendezvous hashing, the lowest first.
func rank(m ident.Model, vm ident.VM) uint64 {
	return xxhash.Sum64String(string(m) + "\x00" + string(vm))
}
