package coldstart

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
)

// tierRank orders the tiers, nearest first. An unknown tier counts as remote.
func tierRank(t engine.Tier) int {
	switch t {
	case engine.TierMemory:
		return 0
	case engine.TierDisk:
		return 1
	}
	return 2
}

// Rank is the rendezvous rank of a VM for a model. Of several VMs, the one with
// the highest rank comes first.
func Rank(model ident.Model, vm ident.VM) uint64 {
	return mix(xxhash.Sum64String(string(model)) ^ mix(xxhash.Sum64String(string(vm))))
}

// mix is the finalizer of MurmurHash3.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return h
}

// option is a slot together with what is known of its VM.
type option struct {
	slot Slot
	cand Candidate
	// tier is the rank of the tier that the order goes by.
	tier int
	// home is 0 in the model's home region and 1 elsewhere.
	home int
	rank uint64
}

// options joins the slots that can be reached with their candidates, in the
// order in which every router wakes them. Changes of tier count once they are
// older than lag, so that a report of that age at most shows them.
func options(q Query, lag time.Duration) []option {
	out := make([]option, 0, len(q.Slots))
	for _, s := range q.Slots {
		i := slices.IndexFunc(q.Candidates, func(c Candidate) bool { return c.VM == s.VM })
		if i < 0 || !q.Candidates[i].Reachable {
			continue
		}
		o := option{slot: s, cand: q.Candidates[i], rank: Rank(q.Model, s.VM)}
		o.tier = tierRank(o.cand.settledTier(q.Now, lag))
		if o.cand.Region != q.Home {
			o.home = 1
		}
		out = append(out, o)
	}
	slices.SortFunc(out, wakeOrder)
	return out
}

// wakeOrder compares by cached tier, then by home region, then by rendezvous
// rank. Neither the router's region nor queues nor free memory count, since
// routers would then disagree.
func wakeOrder(a, b option) int {
	return cmp.Or(
		cmp.Compare(a.tier, b.tier),
		cmp.Compare(a.home, b.home),
		cmp.Compare(b.rank, a.rank),
		cmp.Compare(a.slot.VM, b.slot.VM),
	)
}
