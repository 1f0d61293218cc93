package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/laureltally/laureltally/ident"
)

// Chooser chooses one of several candidates. Its cost is linear in their number
// and it does not allocate.
type Chooser struct {
	opts Options
	// local and remote are scratch space for the candidates of the request's
	// region and of other regions.
	local, remote pool
}

// New returns a Chooser. It fails with an *OptionError.
func New(o Options) (*Chooser, error) {
	o = o.withDefaults()
	if err := o.validate(); err != nil {
		return nil, err
	}
	return &Chooser{opts: o, remote: pool{crossRegion: true}}, nil
}

// SetRouters updates Options.Routers after a change of membership.
func (c *Chooser) SetRouters(n int) { c.opts.Routers = max(1, n) }

// SetRegionDelay updates Options.RegionDelay after a measurement.
func (c *Chooser) SetRegionDelay(d time.Duration) { c.opts.RegionDelay = d }

// Choose picks the VM for a request. It fails with a *NoCandidateError if every
// candidate is leaving or excluded.
func (c *Chooser) Choose(req Request, all []Candidate) (Choice, error) {
	if ch, ok := c.choose(&req, all, false); ok {
		return ch, nil
	}
	if ch, ok := c.choose(&req, all, true); ok {
		return ch, nil
	}
	return Choice{}, noCandidate(all)
}

// choose picks among the candidates that are not ejected, or among all if
// includeEjected is set. It returns false if there is none.
func (c *Chooser) choose(req *Request, all []Candidate, includeEjected bool) (Choice, bool) {
	c.partition(req, all, includeEjected)
	n, m := len(c.local.members), len(c.remote.members)
	if n == 0 && m == 0 {
		return Choice{}, false
	}
	if n == 0 {
		return c.pick(req, all, &c.remote), true
	}
	local := c.pick(req, all, &c.local)
	if m == 0 || !req.AllowCrossRegion || local.Wait <= c.minGain(req) {
		return local, true
	}
	if remote := c.pick(req, all, &c.remote); remote.Wait+c.minGain(req) < local.Wait {
		return remote, true
	}
	return local, true
}

// minGain returns how much sooner a request must start in another region to be
// sent there.
func (c *Chooser) minGain(req *Request) time.Duration {
	return max(c.opts.CrossingGain, time.Duration(c.opts.CrossingShare*float64(req.Remaining)))
}

// pick chooses among the candidates of one pool.
func (c *Chooser) pick(req *Request, all []Candidate, p *pool) Choice {
	i, affine := -1, false
	if req.Affinity != 0 {
		i, affine = c.affine(req.Affinity, all, p)
	}
	if i < 0 {
		i = c.leastLoaded(all, p)
	}
	return Choice{
		Index:       i,
		Wait:        c.wait(&all[i], p.crossRegion),
		ServiceTime: all[i].ServiceTime,
		CrossRegion: p.crossRegion,
		Affine:      affine,
	}
}

// affine returns the candidate with the highest rendezvous hash for key among
// those whose load is within the bound, and reports whether it has the highest
// hash of all. It returns -1 if there is none.
func (c *Chooser) affine(key uint64, all []Candidate, p *pool) (int, bool) {
	bound := max(c.opts.FreeShare, c.opts.LoadBound*(p.load+1)/p.effectiveConcurrency)
	best := -1
	var maxHash, bestHash uint64
	for _, i := range p.members {
		cand := &all[i]
		h := rendezvous(key, cand)
		maxHash = max(maxHash, h)
		if float64(cand.load+1) > max(1, bound*cand.effectiveConcurrency()) {
			continue
		}
		if best < 0 || h > bestHash {
			best, bestHash = int(i), h
		}
	}
	return best, best >= 0 && bestHash == maxHash
}

// leastLoaded returns the best of Options.Choices random candidates. The first
// one is not drawn again.
func (c *Chooser) leastLoaded(all []Candidate, p *pool) int {
	if len(p.members) <= c.opts.Choices {
		return c.best(all, p)
	}
	n := len(p.members)
	first := c.opts.Rand.IntN(n)
	best := int(p.members[first])
	for range c.opts.Choices - 1 {
		other := int(p.members[(first+1+c.opts.Rand.IntN(n-1))%n])
		if c.score(&all[other]) < c.score(&all[best]) {
			best = other
		}
	}
	return best
}

// best returns the best of all candidates, and a random one of equals.
func (c *Chooser) best(all []Candidate, p *pool) int {
	best, least, ties := -1, 0.0, 0
	for _, i := range p.members {
		s := c.score(&all[i])
		switch {
		case best < 0 || s < least:
			best, least, ties = int(i), s, 1
		case s == least:
			ties++
			if c.opts.Rand.IntN(ties) == 0 {
				best = int(i)
			}
		}
	}
	return best
}

// score returns the expected time to work off the load of a candidate including
// the request; lower is better.
func (c *Chooser) score(cand *Candidate) float64 {
	serviceTime := cand.ServiceTime.Seconds()
	if cand.PrefixLikely {
		serviceTime *= 1 - c.opts.PrefixSavings
	}
	s := serviceTime * float64(cand.load+1) / cand.effectiveConcurrency()
	if !cand.AdapterLoaded {
		s += c.opts.AdapterDelay.Seconds()
	}
	return s
}

// wait returns the expected time until a request starts, including network
// delays.
func (c *Chooser) wait(cand *Candidate, crossRegion bool) time.Duration {
	var w time.Duration
	if over := float64(cand.load+1) - cand.effectiveConcurrency(); over > 0 {
		w = time.Duration(over / cand.effectiveConcurrency() * float64(cand.ServiceTime))
	}
	if !cand.AdapterLoaded {
		w += c.opts.AdapterDelay
	}
	if crossRegion {
		w += 2 * c.opts.RegionDelay
	}
	return w
}

func noCandidate(all []Candidate) error {
	e := &NoCandidateError{Considered: len(all)}
	for i := range all {
		if all[i].Leaving {
			e.Leaving++
		}
	}
	return e
}

// rendezvous returns the rendezvous hash of a candidate for a key.
func rendezvous(key uint64, cand *Candidate) uint64 {
	h := cand.hash
	if h == 0 {
		h = hashVM(cand.VM)
	}
	return mix(key ^ h)
}

func hashVM(vm ident.VM) uint64 { return xxhash.Sum64String(string(vm)) | 1 }

// hashAdapter returns zero only for the empty name.
func hashAdapter(a ident.Adapter) uint64 {
	if a == "" {
		return 0
	}
	return xxhash.Sum64String(string(a)) | 1
}

// mix distributes the bits of x evenly, using the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
