package routing

// pool is the candidates that one pick may take.
type pool struct {
	req      Request
	all      []Candidate
	crossing bool
	// ejected admits ejected candidates, as a last resort.
	ejected bool
	n       int
	load    float64
	places  float64
}

func (p *pool) has(c *Candidate) bool {
	if c.Leaving || c.Ejected && !p.ejected || c.VM == p.req.Exclude {
		return false
	}
	return (c.Region != p.req.Region) == p.crossing
}

func (p *pool) count(routers int) {
	for i := range p.all {
		if c := &p.all[i]; p.has(c) {
			p.n++
			p.load += float64(c.load(routers))
			p.places += c.places()
		}
	}
}

// nth is the index of the k-th member.
func (p *pool) nth(k int) int {
	for i := range p.all {
		if !p.has(&p.all[i]) {
			continue
		}
		if k == 0 {
			return i
		}
		k--
	}
	return -1
}
