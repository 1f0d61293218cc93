package resume

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/laureltally/laureltally/ident"
)

// Homes returns the n agents that rank first for a request, by rendezvous hashing. The
// first one is told of the stream; a router that is connected to other agents than the
// one that told it may find the record at the second.
func Homes(request string, agents []ident.VM, n int) []ident.VM {
	type ranked struct {
		vm   ident.VM
		rank uint64
	}
	all := make([]ranked, len(agents))
	for i, vm := range agents {
		all[i] = ranked{vm, xxhash.Sum64String(request + "\x00" + string(vm))}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.vm, b.vm))
	})
	homes := make([]ident.VM, 0, n)
	for _, r := range all[:min(n, len(all))] {
		homes = append(homes, r.vm)
	}
	return homes
}
