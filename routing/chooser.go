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
}

// New returns a Chooser. It fails with an *OptionError.
func New(o Options) (*Chooser, error) {
	o = o.withDefaults()
	if err := o.validate(); err != nil {
		return nil, err
	}
	return &Chooser{opts: o}, nil
}

// SetRouters changes Options.Routers when membership changes.
func (c *Chooser) SetRouters(n int) { c.opts.Routers = max(1, n) }

// Choose picks the VM for a request. It fails with a *NoCandidateError if every
// candidate is leaving or excluded.
func (c *Chooser) Choose(req Request, all []Candidate) (Choice, error) {
	if ch, ok := c.choose(req, all, false); ok {
		return ch, nil
	}
	if ch, ok := c.choose(req, all, true); ok {
		return ch, nil
	}
	return Choice{}, noCandidate(all)
}

// choose picks among all candidates, or among those that are not ejected.
func (c *Chooser) choose(req Request, all []Candidate, ejected bool) (Choice, bool) {
	own, n := c.pick(pool{req: req, all: all, ejected: ejected})
	if n > 0 && !req.AllowCrossing {
		return own, true
	}
	other, m := c.pick(pool{req: req, all: all, ejected: ejected, crossing: true})
	if n == 0 {
		return other, m > 0
	}
	if m > 0 && other.Wait+c.gain(req) < own.Wait {
		return other, true
	}
	return own, true
}

// gain is how much sooner a request must start in another region.
func (c *Chooser) gain(req Request) time.Duration {
	return max(c.opts.CrossingGain, time.Duration(c.opts.CrossingShare*float64(req.Remaining)))
}

// pick chooses within one pool and returns its size.
func (c *Chooser) pick(p pool) (Choice, int) {
	p.count(c.opts.Routers)
	if p.n == 0 {
		return Choice{}, 0
	}
	i, affine := c.pickFrom(&p)
	return Choice{
		Index:       i,
		Wait:        c.wait(&p.all[i], p.crossing),
		ServiceTime: p.all[i].ServiceTime,
		Crosses:     p.crossing,
		Affine:      affine,
	}, p.n
}

func (c *Chooser) pickFrom(p *pool) (int, bool) {
	if p.req.Affinity != 0 {
		return c.affine(p)
	}
	return c.twoChoices(p), false
}

// affine takes the first VM in the order of the affinity's rendezvous hash whose
// load is within the bound.
func (c *Chooser) affine(p *pool) (int, bool) {
	bound := c.opts.LoadBound * (p.load + 1) / p.places
	first, within := -1, -1
	var firstHash, withinHash uint64
	for i := range p.all {
		cand := &p.all[i]
		if !p.has(cand) {
			continue
		}
		h := rendezvous(p.req.Affinity, cand)
		if first < 0 || h > firstHash {
			first, firstHash = i, h
		}
		if float64(cand.load(c.opts.Routers)+1) > max(1, bound*cand.places()) {
			continue
		}
		if within < 0 || h > withinHash {
			within, withinHash = i, h
		}
	}
	if within < 0 {
		return c.twoChoices(p), false
	}
	return within, within == first
}

// twoChoices takes the better of two random candidates.
func (c *Chooser) twoChoices(p *pool) int {
	a := p.nth(c.opts.Rand.IntN(p.n))
	if p.n == 1 {
		return a
	}
	b := p.nth(c.opts.Rand.IntN(p.n))
	if c.score(&p.all[b]) < c.score(&p.all[a]) {
		return b
	}
	return a
}

// score orders candidates: the time in which a request would pass at an even
// rate.
func (c *Chooser) score(cand *Candidate) float64 {
	per := cand.ServiceTime.Seconds()
	if cand.PrefixLikely {
		per *= 1 - c.opts.PrefixSavings
	}
	s := per * float64(cand.load(c.opts.Routers)+1) / cand.places()
	if !cand.AdapterLoaded {
		s += c.opts.AdapterDelay.Seconds()
	}
	return s
}

// wait is the expected time until a request would start, with the links.
func (c *Chooser) wait(cand *Candidate, crossing bool) time.Duration {
	var w time.Duration
	if over := float64(cand.load(c.opts.Routers)+1) - cand.places(); over > 0 {
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

// mix spreads the bits of x evenly, by the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
