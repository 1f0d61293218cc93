package gossip

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/laureltally/laureltally/ident"
)

// PeersPerRouter is how many routers of its region a router pulls from.
const PeersPerRouter = 2

// LinksPerRegion is how many routers of a region pull from each other region.
const LinksPerRegion = 2

// Peers returns the routers of its region that a router pulls from. The list of
// routers may include the router itself.
//
// Sorted by hash, router i of n pulls from 2i and 2i+1 modulo n. Such a graph
// reaches every router from every other in at most ceil(log2 n) steps (M. Imase
// and M. Itoh, "Design to minimize diameter on building-block network", IEEE
// Transactions on Computers, 1981). While routers disagree on the membership,
// the bound may not hold, but no report is lost.
func Peers(self ident.VM, routers []ident.VM) []ident.VM {
	ring := ordered(self, routers)
	n, i := len(ring), slices.Index(ring, self)
	var out []ident.VM
	for j := range PeersPerRouter {
		peer := ring[(PeersPerRouter*i+j)%n]
		if peer == self {
			// A router does not pull from itself.
			peer = ring[(i+1)%n]
		}
		if peer != self && !slices.Contains(out, peer) {
			out = append(out, peer)
		}
	}
	return out
}

// ordered returns the routers and self without duplicates, sorted by hash.
func ordered(self ident.VM, routers []ident.VM) []ident.VM {
	ring := append(slices.Clone(routers), self)
	slices.SortFunc(ring, func(a, b ident.VM) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b))), cmp.Compare(a, b))
	})
	return slices.Compact(ring)
}
