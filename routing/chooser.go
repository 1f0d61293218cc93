package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/laureltally/laureltally/ident"
)

// Chooser chooses one of several candidates. Its cost is linear in their number
// and it allocates nothing.
type Chooser struct {
	opts Options
	// own and other are scratch space for the candidates of the request's region
	// and of the others.
	own, other pool
}

// New returns a Chooser. It fails with an *OptionError.
func New(o Options) (*Chooser, error) {
	o = o.withDefaults()
	if err := o.validate(); err != nil {
		return nil, err
	}
	return &Chooser{opts: o, other: pool{crossing: true}}, nil
}

// SetRouters changes Options.Routers when membership changes.
func (c *Chooser) SetRouters(n int) { c.opts.Routers = max(1, n) }

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

// choose picks among all candidates, or among those that are not ejected.
func (c *Chooser) choose(req *Request, all []Candidate, ejected bool) (Choice, bool) {
	c.sort(req, all, ejected)
	n, m := len(c.own.members), len(c.other.members)
	if n == 0 && m == 0 {
		return Choice{}, false
	}
	if n == 0 {
		return c.pick(req, all, &c.other), true
	}
	own := c.pick(req, all, &c.own)
	if m == 0 || !req.AllowCrossRegion || own.Wait <= c.gain(req) {
		return own, true
	}
	if other := c.pick(req, all, &c.other); other.Wait+c.gain(req) < own.Wait {
		return other, true
	}
	return own, true
}

// gain is how much sooner a request must start in another region.
func (c *Chooser) gain(req *Request) time.Duration {
	return max(c.opts.CrossingGain, time.Duration(c.opts.CrossingShare*float64(req.Remaining)))
}

// pick chooses within one pool.
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
		Wait:        c.wait(&all[i], p.crossing),
		ServiceTime: all[i].ServiceTime,
		CrossRegion: p.crossing,
		Affine:      affine,
	}
}

// affine takes the first VM in the order of the key's rendezvous hash whose load
// is within the bound, and tells whether it is the first of all. It returns -1 if
// there is none.
func (c *Chooser) affine(key uint64, all []Candidate, p *pool) (int, bool) {
	bound := max(c.opts.FreeShare, c.opts.LoadBound*(p.load+1)/p.places)
	within := -1
	var firstHash, withinHash uint64
	for _, i := range p.members {
		cand := &all[i]
		h := rendezvous(key, cand)
		firstHash = max(firstHash, h)
		if float64(cand.load+1) > max(1, bound*cand.places()) {
			continue
		}
		if within < 0 || h > withinHash {
			within, withinHash = int(i), h
		}
	}
	return within, within >= 0 && withinHash == firstHash
}

// leastLoaded takes the best of some random candidates, of which the first is not
// drawn again.
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

// best takes the best of all candidates, and of equals a random one.
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

// score orders candidates: the time in which a request would pass at an even
// rate.
func (c *Chooser) score(cand *Candidate) float64 {
	per := cand.ServiceTime.Seconds()
	if cand.PrefixLikely {
		per *= 1 - c.opts.PrefixSavings
	}
	s := per * float64(cand.load+1) / cand.places()
	if !cand.AdapterLoaded {
		s += c.opts.AdapterDelay.Seconds()
	}
	return s
}

// wait is the expected time until a request would start, with the links.
func (c *Chooser) wait(cand *Candidate, crossing bool) time.Duration {
	var w time.Duration
	if over := float64(cand.load+1) - cand.places(); over > 0 {
		w = time.Duration(over / cand.places() * float64(cand.ServiceTime))
	}
	if !cand.AdapterLoaded {
		w += c.opts.AdapterDelay
	}
	if crossing {
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

// rendezvous is the weight of a candidate for a key.
func rendezvous(key uint64, cand *Candidate) uint64 {
	h := cand.hash
	if h == 0 {
		h = hashVM(cand.VM)
	}
	return mix(key ^ h)
}

func hashVM(vm ident.VM) uint64 { return xxhash.Sum64String(string(vm)) | 1 }

// hashAdapter is zero only for the empty name.
func hashAdapter(a ident.Adapter) uint64 {
	if a == "" {
		return 0
	}
	return xxhash.Sum64String(string(a)) | 1
}

// mix spreads the bits of x evenly, by the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
