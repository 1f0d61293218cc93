package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/laureltally/laureltally/ident"
)

// Numbers of VMs that share a task.
const (
	// SubscribersPerRegion is how many routers of a region receive an agent's
	// reports directly from it.
	SubscribersPerRegion = 3
	// WatchersPerZone is how many processes of an availability zone keep watches
	// at the platform.
	WatchersPerZone = 2
)

// Rank orders VMs for a key by rendezvous hashing, the preferred one first. All
// processes that have the same set of VMs compute the same order. Adding or
// removing a VM does not change the order of the others.
func Rank(key string, vms []ident.VM) []ident.VM {
	type scored struct {
		vm    ident.VM
		score uint64
	}
	list := make([]scored, len(vms))
	for i, vm := range vms {
		list[i] = scored{vm: vm, score: xxhash.Sum64String(key + "\x00" + string(vm))}
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.vm, b.vm))
	})
	out := make([]ident.VM, len(list))
	for i, s := range list {
		out[i] = s.vm
	}
	return out
}

// TopN returns the first n of Rank, or all if there are fewer.
func TopN(key string, vms []ident.VM, n int) []ident.VM {
	ranked := Rank(key, vms)
	return ranked[:min(n, len(ranked))]
}

// Subscribes reports whether a router is among those of its region that receive
// an agent's reports directly from it.
func Subscribes(router, agent ident.VM, routers []ident.VM) bool {
	return slices.Contains(TopN(string(agent), routers, SubscribersPerRegion), router)
}

// Owner returns the router that does the shared work for a key, or false if
// there are no routers. Processes may disagree on it for a while, so only
// performance may depend on it.
func Owner(key string, routers []ident.VM) (ident.VM, bool) {
	top := TopN(key, routers, 1)
	if len(top) == 0 {
		return "", false
	}
	return top[0], true
}
