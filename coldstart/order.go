package coldstart

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
)

// tierRank returns the rank of a tier, nearest first. An unknown tier ranks as
// remote.
func tierRank(t engine.Tier) int {
	switch t {
	case engine.TierMemory:
		return 0
	case engine.TierDisk:
		return 1
	}
	return 2
}

// Rank returns the rendezvous rank of a VM for a model. Of several VMs, the one
// with the highest rank comes first.
func Rank(model ident.Model, vm ident.VM) uint64 {
	return fmix64(xxhash.Sum64String(string(model)) ^ fmix64(xxhash.Sum64String(string(vm))))
}

// fmix64 is the 64-bit finalizer of MurmurHash3.
func fmix64(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return h
}

// option is a slot with the state of its VM.
type option struct {
	slot      Slot
	candidate Candidate
	// tier is the rank of the candidate's settled tier.
	tier int
	// home is 0 in the model's home region and 1 elsewhere.
	home int
	rank uint64
}

// options returns the slots on reachable VMs with their candidates, in load
// order. A change of tier counts once it is older than lag, so that it is in
// the reports of all routers.
func options(q Query, lag time.Duration) []option {
	out := make([]option, 0, len(q.Slots))
	for _, s := range q.Slots {
		i := slices.IndexFunc(q.Candidates, func(c Candidate) bool { return c.VM == s.VM })
		if i < 0 || !q.Candidates[i].Reachable {
			continue
		}
		o := option{slot: s, candidate: q.Candidates[i], rank: Rank(q.Model, s.VM)}
		o.tier = tierRank(o.candidate.settledTier(q.Now, lag))
		if o.candidate.Region != q.Home {
			o.home = 1
		}
		out = append(out, o)
	}
	slices.SortFunc(out, compareOptions)
	return out
}

// compareOptions defines the load order: by cached tier, home region and
// rendezvous rank. The router's region, queues and free memory are left out,
// since routers would then disagree on the order.
func compareOptions(a, b option) int {
	return cmp.Or(
		cmp.Compare(a.tier, b.tier),
		cmp.Compare(a.home, b.home),
		cmp.Compare(b.rank, a.rank),
		cmp.Compare(a.slot.VM, b.slot.VM),
	)
}
