package allocation

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
)

// Plan returns the allocation required by in, and whether it differs from the
// given one. It keeps slots on their VMs and spreads new ones over regions,
// availability zones and VMs. It removes only slots of removed VMs; any other
// slot is set to revoking and then released by its VM.
//
// The number of slots never rises above the limit, and never rises at all while
// it is above a lowered limit.
func Plan(allocation Allocation, in Input) (Allocation, bool) {
	if in.DocumentVersion < allocation.DocumentVersion {
		return allocation, false
	}
	d := draft{allocation: allocation.clone(), in: in}
	d.setLimit()
	d.dropRemoved()
	d.revokeIneligible()
	d.revokeExcess()
	d.restore()
	d.addSlots()
	return d.allocation, d.changed
}

// draft is an allocation that is being planned.
type draft struct {
	allocation Allocation
	in         Input
	changed    bool
	// regions and zones count the held slots of the model as of the last call
	// of countHeld.
	regions map[ident.Region]int
	zones   map[ident.Zone]int
}

func (d *draft) setLimit() {
	if d.allocation.Limit != d.in.Limit {
		d.allocation.Limit = d.in.Limit
		d.allocation.DocumentVersion = d.in.DocumentVersion
		d.changed = true
	}
}

func (d *draft) dropRemoved() {
	before := len(d.allocation.Slots)
	d.allocation.Slots = slices.DeleteFunc(d.allocation.Slots, func(s Slot) bool { return d.in.Removed(s.VM) })
	d.changed = d.changed || len(d.allocation.Slots) != before
}

// revokeIneligible revokes the slots of VMs that are leaving or belong to
// another upstream. VMs that are not in the list keep theirs.
func (d *draft) revokeIneligible() {
	for i, s := range d.allocation.Slots {
		if v, ok := d.in.VMs[s.VM]; s.State == Held && ok && !d.eligible(v) {
			d.revoke(i)
		}
	}
}

// eligible reports whether a listed VM may have a slot of the model.
func (d *draft) eligible(v metastore.VM) bool {
	return v.Role == metastore.RoleAgent && v.Upstream == d.in.Upstream && !v.Leaving
}

// revokeExcess revokes held slots above the limit, starting in the region that
// has the most.
func (d *draft) revokeExcess() {
	for d.allocation.count(Held) > d.allocation.Limit {
		d.revoke(d.revocationCandidate())
	}
}

func (d *draft) revocationCandidate() int {
	d.countHeld()
	best := -1
	for i, s := range d.allocation.Slots {
		if s.State == Held && (best < 0 || d.compare(s.VM, d.allocation.Slots[best].VM) > 0) {
			best = i
		}
	}
	return best
}

func (d *draft) revoke(i int) {
	d.allocation.Slots[i].State = Revoking
	d.changed = true
}

// restore sets revoking slots back to held where the limit allows it, with a
// new fencing token: the VM may have started to relinquish the old one.
func (d *draft) restore() {
	for i, s := range d.allocation.Slots {
		if s.State != Revoking || s.Returned || !d.eligible(d.in.VMs[s.VM]) || d.allocation.count(Held) >= d.allocation.Limit {
			continue
		}
		d.allocation.LastFence++
		d.allocation.Slots[i] = Slot{VM: s.VM, Fence: d.allocation.LastFence, State: Held}
		d.changed = true
	}
}

// addSlots adds slots on the best VMs that have none, up to the limit.
func (d *draft) addSlots() {
	for len(d.allocation.Slots) < d.allocation.Limit {
		vm, ok := d.bestCandidate()
		if !ok {
			return
		}
		d.allocation.LastFence++
		d.allocation.Slots = append(d.allocation.Slots, Slot{VM: vm, Fence: d.allocation.LastFence, State: Held})
		d.changed = true
	}
}

func (d *draft) bestCandidate() (ident.VM, bool) {
	d.countHeld()
	var best ident.VM
	for _, v := range d.in.VMs {
		if !d.eligible(v) || d.allocation.index(v.ID) >= 0 {
			continue
		}
		if best == "" || d.compare(v.ID, best) < 0 {
			best = v.ID
		}
	}
	return best, best != ""
}

// compare orders VMs for a slot of the model, the best first: by the held slots
// in the region and in the availability zone, by free memory, by the slots on
// the VM and by rank. Either both VMs hold a slot or neither does, so their own
// slots need not be subtracted from the counts.
func (d *draft) compare(a, b ident.VM) int {
	va, vb := d.in.VMs[a], d.in.VMs[b]
	return cmp.Or(
		cmp.Compare(d.regions[va.Region], d.regions[vb.Region]),
		cmp.Compare(d.zones[va.Zone], d.zones[vb.Zone]),
		cmp.Compare(d.memoryShortfall(a), d.memoryShortfall(b)),
		cmp.Compare(d.in.Slots[a], d.in.Slots[b]),
		cmp.Compare(rank(d.in.Model, a), rank(d.in.Model, b)),
		cmp.Compare(a, b),
	)
}

// countHeld counts the held slots of the model by region and availability zone.
func (d *draft) countHeld() {
	d.regions, d.zones = make(map[ident.Region]int), make(map[ident.Zone]int)
	for _, s := range d.allocation.Slots {
		if v, ok := d.in.VMs[s.VM]; ok && s.State == Held {
			d.regions[v.Region]++
			d.zones[v.Zone]++
		}
	}
}

func (d *draft) memoryShortfall(vm ident.VM) int {
	if free, ok := d.in.FreeMB[vm]; ok && free < d.in.NeedMB {
		return 1
	}
	return 0
}

// rank returns the rendezvous hash of a model and a VM. The VM with the lowest
// hash ranks first.
func rank(m ident.Model, vm ident.VM) uint64 {
	return xxhash.Sum64String(string(m) + "\x00" + string(vm))
}
