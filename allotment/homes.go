package allotment

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/laureltally/laureltally/ident"
)

const (
	// minBanks is the least number of banks of a tenant: with one of them away, two thirds
	// of the allotment are left, which suffices for 1.8 times the usual demand.
	minBanks = 3
	// settleTime is how long a sidecar must have been among the banks of a tenant before
	// it is asked. By then all routers that can read the list of VMs have ceased to ask
	// the bank that it replaces; otherwise both would lend the same share.
	settleTime = 4 * time.Second
	// maxCachedHomes bounds the tenants whose banks are remembered.
	maxCachedHomes = 20_000
)

// Engine is a possible bank: the sidecar of a model engine, identified by the engine's
// address.
type Engine struct {
	Address string
	Region  ident.Region
}

// Homes chooses the banks of each tenant among the engines of the VM list. The zero value
// has none.
type Homes struct {
	// lists holds the current list and those of the last settleTime, newest last.
	lists []list
	cache map[ident.Tenant]cachedHomes
}

// list is the engines of a list of VMs, by region and address.
type list struct {
	regions [][]ranked
	// until is when the list was replaced, zero for the current one.
	until time.Time
}

type ranked struct {
	Engine
	hash uint64
}

// cachedHomes is the banks of a tenant, which are valid until a time.
type cachedHomes struct {
	banks []Engine
	all   int
	until time.Time
}

// Replaced is a bank that a new list replaces by another one although its engine is still
// listed.
type Replaced struct {
	Tenant ident.Tenant
	Engine Engine
}

// Update takes the engines of the newest list. It returns the replaced banks of the tenants
// that Banks was called for: they have to be told, since routers that are cut off from the
// store still ask them.
func (h *Homes) Update(now time.Time, engines []Engine) []Replaced {
	byRegion := make(map[ident.Region][]ranked)
	for _, e := range engines {
		byRegion[e.Region] = append(byRegion[e.Region], ranked{e, xxhash.Sum64String(e.Address)})
	}
	var l list
	for _, all := range byRegion {
		slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(a.Address, b.Address) })
		l.regions = append(l.regions, all)
	}
	slices.SortFunc(l.regions, func(a, b []ranked) int { return cmp.Compare(a[0].Region, b[0].Region) })
	if n := len(h.lists); n > 0 {
		if l.equal(&h.lists[n-1]) {
			return nil
		}
		h.lists[n-1].until = now
	}
	replaced := h.replaced(&l)
	h.lists = append(slices.DeleteFunc(h.lists, func(l list) bool { return l.settled(now) }), l)
	h.cache = nil
	return replaced
}

// replaced returns the banks that a list newer than the current one replaces.
func (h *Homes) replaced(newer *list) []Replaced {
	var out []Replaced
	for tenant := range h.cache {
		seed := xxhash.Sum64String(string(tenant))
		now := newer.banks(seed)
		for _, e := range h.lists[len(h.lists)-1].banks(seed) {
			if !slices.Contains(now, e) && newer.has(e) {
				out = append(out, Replaced{tenant, e})
			}
		}
	}
	return out
}

// has reports whether an engine is listed.
func (l *list) has(e Engine) bool {
	for _, all := range l.regions {
		if _, ok := slices.BinarySearchFunc(all, e, func(a ranked, b Engine) int { return cmp.Compare(a.Address, b.Address) }); ok && all[0].Region == e.Region {
			return true
		}
	}
	return false
}

// Any reports whether the list has an engine.
func (h *Homes) Any() bool {
	return len(h.lists) > 0 && len(h.lists[len(h.lists)-1].regions) > 0
}

// Banks returns the banks of a tenant that may be asked, and the number of those that share
// the allotment, which includes the ones that have been banks for less than settleTime. If
// there is none but these, they are returned.
func (h *Homes) Banks(now time.Time, tenant ident.Tenant) ([]Engine, int) {
	if c, ok := h.cache[tenant]; ok && now.Before(c.until) {
		return c.banks, c.all
	}
	if !h.Any() {
		return nil, 0
	}
	seed := xxhash.Sum64String(string(tenant))
	current := h.lists[len(h.lists)-1].banks(seed)
	c := cachedHomes{banks: slices.Clone(current), all: len(current), until: now.Add(time.Hour)}
	for i := range h.lists[:len(h.lists)-1] {
		l := &h.lists[i]
		if l.settled(now) {
			continue
		}
		earlier := l.banks(seed)
		kept := slices.DeleteFunc(slices.Clone(c.banks), func(e Engine) bool { return !slices.Contains(earlier, e) })
		if until := l.until.Add(settleTime); until.Before(c.until) {
			c.until = until
		}
		c.banks = kept
	}
	if len(c.banks) == 0 {
		c.banks = current
	}
	if h.cache == nil || len(h.cache) >= maxCachedHomes {
		h.cache = make(map[ident.Tenant]cachedHomes)
	}
	h.cache[tenant] = c
	return c.banks, c.all
}

func (l *list) settled(now time.Time) bool {
	return !l.until.IsZero() && now.Sub(l.until) >= settleTime
}

func (l *list) equal(other *list) bool {
	return slices.EqualFunc(l.regions, other.regions, func(a, b []ranked) bool { return slices.Equal(a, b) })
}

// banks returns the engines that rank first for a tenant, the same number in each region.
func (l *list) banks(seed uint64) []Engine {
	if len(l.regions) == 0 {
		return nil
	}
	perRegion := (minBanks + len(l.regions) - 1) / len(l.regions)
	out := make([]Engine, 0, perRegion*len(l.regions))
	for _, all := range l.regions {
		out = append(out, first(all, seed, perRegion)...)
	}
	return out
}

// first returns the n engines that rank first.
func first(all []ranked, seed uint64, n int) []Engine {
	ranks := make([]uint64, 0, n+1)
	out := make([]Engine, 0, n+1)
	for i := range all {
		rank := mix(all[i].hash ^ seed)
		at, _ := slices.BinarySearchFunc(ranks, rank, func(a, b uint64) int { return cmp.Compare(b, a) })
		if at >= n {
			continue
		}
		ranks, out = slices.Insert(ranks, at, rank), slices.Insert(out, at, all[i].Engine)
		ranks, out = ranks[:min(n, len(ranks))], out[:min(n, len(out))]
	}
	return out
}

// mix is the finalizer of SplitMix64: every bit of x changes half of the bits of the result.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
