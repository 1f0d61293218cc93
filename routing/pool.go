package routing

// pool is the candidates that one pick may take, with sums over them.
type pool struct {
	members  []int32
	crossing bool
	load     float64
	places   float64
}

func (p *pool) reset() { p.members, p.load, p.places = p.members[:0], 0, 0 }

func (p *pool) add(i int, c *Candidate) {
	p.members = append(p.members, int32(i))
	p.load += float64(c.load)
	p.places += c.places()
}

// sort files the candidates that may be taken by whether they cross regions.
func (c *Chooser) sort(req *Request, all []Candidate, ejected bool) {
	c.own.reset()
	c.other.reset()
	for i := range all {
		cand := &all[i]
		if cand.Leaving || cand.Ejected && !ejected || cand.VM == req.Exclude {
			continue
		}
		cand.load = cand.estimate(c.opts.Routers)
		if cand.Region == req.Region {
			c.own.add(i, cand)
		} else {
			c.other.add(i, cand)
		}
	}
}
