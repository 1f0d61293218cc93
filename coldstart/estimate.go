package coldstart

import (
	"time"

	"github.com/laureltally/laureltally/engine"
)

// estimate is the time to the first token on one option.
type estimate struct {
	opt    option
	action Action
	// expected and late are the times at the median and at the configured
	// quantile of load times.
	expected, late time.Duration
	// queue is the part of both that is spent behind other requests.
	queue time.Duration
	// cross is the margin that a replica in another region must gain.
	cross time.Duration
	due   time.Time
	// avoid tells that a load failed on the VM not long ago.
	avoid bool
}

// score orders estimates, lowest first.
func (e estimate) score() time.Duration { return e.expected + e.cross }

// medianQuantile is the quantile of an expected load time.
const medianQuantile = 0.5

// estimate returns the time to the first token if the request goes to o.
func (c *Chooser) estimate(q Query, f *followed, o option) estimate {
	e := estimate{opt: o, queue: queueTime(o.cand, q.ServiceTime)}
	if o.cand.Region != c.cfg.Region {
		e.cross = c.cfg.CrossMargin
	}
	expected, late := c.load(q, f, &e)
	rest := c.roundTrip(o.cand) + e.queue
	e.expected, e.late = expected+rest, late+rest
	return e
}

// load returns the time until the model is loaded at the median and at the
// configured quantile, and sets the action of e and when it is due.
func (c *Chooser) load(q Query, f *followed, e *estimate) (expected, late time.Duration) {
	cand := e.opt.cand
	if cand.Phase == engine.PhaseLoaded {
		return 0, 0
	}
	w, known := f.find(cand.VM)
	if known && !w.failed {
		e.action, e.due = Join, w.due
		return c.remaining(q, w, medianQuantile), c.remaining(q, w, c.cfg.Quantile)
	}
	e.action, e.avoid = Wake, known
	room := c.makeRoom(q, cand)
	expected = room + c.times.Quantile(cand.Tier, q.MemoryMB, medianQuantile)
	late = room + c.times.Quantile(cand.Tier, q.MemoryMB, c.cfg.Quantile)
	e.due = q.Now.Add(late)
	return expected, late
}

// remaining returns how much longer a load takes. Past the quantile it is
// expected to take as long again as it has taken.
func (c *Chooser) remaining(q Query, w wake, quantile float64) time.Duration {
	age := q.Now.Sub(w.began)
	total := c.times.Quantile(w.tier, q.MemoryMB, quantile)
	if age < total {
		return total - age
	}
	if late := c.times.Quantile(w.tier, q.MemoryMB, c.cfg.Quantile); age < late {
		return late - age
	}
	return age
}

// roundTrip returns the time on the links to a VM and back.
func (c *Chooser) roundTrip(v Candidate) time.Duration {
	switch {
	case v.Region != c.cfg.Region:
		return 2 * c.cfg.RegionDelay
	case v.Zone != c.cfg.Zone:
		return 2 * c.cfg.ZoneDelay
	}
	return 0
}

// makeRoom returns the time to unload others first, if the VM's memory is full.
func (c *Chooser) makeRoom(q Query, v Candidate) time.Duration {
	if v.FreeMB >= q.MemoryMB {
		return 0
	}
	return c.cfg.Unload
}

// queueTime returns how long a request waits for a place on a replica.
func queueTime(v Candidate, service time.Duration) time.Duration {
	ahead := v.Running + v.Waiting - v.Concurrency + 1
	if ahead <= 0 {
		return 0
	}
	return service * time.Duration(ahead) / time.Duration(max(1, v.Concurrency))
}
