package residency

import "time"

// pending is a request that waits or holds a place.
type pending struct {
	Request
	arrived time.Time
	granted time.Time
	// ahead is how many tokens the engine had to read until its first event.
	ahead int
}

func (p *pending) holds() bool { return !p.granted.IsZero() }

// due is when its answer should begin.
func (p *pending) due() time.Time { return p.arrived.Add(p.Objective) }

// expires is when it stops waiting.
func (p *pending) expires() time.Time { return p.arrived.Add(p.MaxWait) }
