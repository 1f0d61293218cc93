package resume

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/laureltally/laureltally/ident"
)

const (
	// recordHomes is the number of agents that are told of a stream, in different zones
	// if the region has several.
	recordHomes = 2
	// queryHomes is the number of agents in each zone that are asked. Agents that joined
	// since the stream began may rank before those that were told.
	queryHomes = 3
)

// Agent is an agent that may be the home of streams.
type Agent struct {
	VM   ident.VM
	Zone ident.Zone
}

// Homes returns the n agents that rank first for a request, by rendezvous hashing.
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

// RecordHomes returns which agents of a router's region are told of a stream.
func RecordHomes(request string, agents []Agent) []ident.VM {
	zones := byZone(agents)
	if len(zones) == 1 {
		return homesIn(request, zones, recordHomes)
	}
	// One in each zone, and the best of these: the loss of a zone leaves one.
	return Homes(request, homesIn(request, zones, 1), recordHomes)
}

// QueryHomes returns which agents are asked for a stream: those that any router may have
// told, and the next ones.
func QueryHomes(request string, agents []Agent) []ident.VM {
	return homesIn(request, byZone(agents), queryHomes)
}

func byZone(agents []Agent) map[ident.Zone][]ident.VM {
	zones := make(map[ident.Zone][]ident.VM)
	for _, a := range agents {
		zones[a.Zone] = append(zones[a.Zone], a.VM)
	}
	return zones
}

// homesIn returns the n first homes in each zone.
func homesIn(request string, zones map[ident.Zone][]ident.VM, n int) []ident.VM {
	var homes []ident.VM
	for _, vms := range zones {
		homes = append(homes, Homes(request, vms, n)...)
	}
	return homes
}
