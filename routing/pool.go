package routing

// pool is a set of eligible candidates with the sums of their loads and
// concurrencies.
type pool struct {
	members              []int32
	crossRegion          bool
	load                 float64
	effectiveConcurrency float64
}

func (p *pool) reset() { p.members, p.load, p.effectiveConcurrency = p.members[:0], 0, 0 }

func (p *pool) add(i int, c *Candidate) {
	p.members = append(p.members, int32(i))
	p.load += float64(c.load)
	p.effectiveConcurrency += c.effectiveConcurrency()
}

// partition sorts the eligible candidates into those of the request's region
// and those of other regions.
func (c *Chooser) partition(req *Request, all []Candidate, includeEjected bool) {
	c.local.reset()
	c.remote.reset()
	for i := range all {
		cand := &all[i]
		if cand.Leaving || cand.Ejected && !includeEjected || cand.VM == req.Exclude {
			continue
		}
		cand.load = cand.estimatedLoad(c.opts.Routers)
		if cand.Region == req.Region {
			c.local.add(i, cand)
		} else {
			c.remote.add(i, cand)
		}
	}
}
