package coldstart

import (
	"time"

	"github.com/laureltally/laureltally/engine"
)

// estimate is the estimated time to the first token with one option.
type estimate struct {
	target option
	action Action
	// expected and late are the estimates at the median and at Config.Quantile of
	// load times.
	expected, late time.Duration
	// queue is the part of both that the request waits for other requests.
	queue time.Duration
	// crossMargin is added to the score of a replica in another region.
	crossMargin time.Duration
	due         time.Time
	// recentlyFailed is set if a load failed on the VM within Config.Avoid.
	recentlyFailed bool
}

// score returns the sort key; the lowest is best.
func (e estimate) score() time.Duration { return e.expected + e.crossMargin }

// medianQuantile is the quantile of the expected load time.
const medianQuantile = 0.5

// estimate returns the estimated time to the first token with option o.
func (c *Chooser) estimate(q Query, loads *trackedLoads, o option) estimate {
	e := estimate{target: o, queue: queueTime(o.candidate, q.ServiceTime)}
	if o.candidate.Region != c.cfg.Region {
		e.crossMargin = c.cfg.CrossMargin
	}
	expected, late := c.loadTime(q, loads, &e)
	rest := c.roundTrip(o.candidate) + e.queue
	e.expected, e.late = expected+rest, late+rest
	return e
}

// loadTime returns the time until the model is loaded, at the median and at
// Config.Quantile. It sets the action of e and when its load is due.
func (c *Chooser) loadTime(q Query, loads *trackedLoads, e *estimate) (expected, late time.Duration) {
	candidate := e.target.candidate
	if candidate.Phase == engine.PhaseLoaded {
		return 0, 0
	}
	load, known := loads.find(candidate.VM)
	if known && !load.failed {
		e.action, e.due = Join, load.due
		return c.remaining(q, load, medianQuantile), c.remaining(q, load, c.cfg.Quantile)
	}
	e.action, e.recentlyFailed = StartLoad, known
	unload := c.unloadTime(q, candidate)
	expected = unload + c.times.Quantile(candidate.Tier, q.MemoryMB, medianQuantile)
	late = unload + c.times.Quantile(candidate.Tier, q.MemoryMB, c.cfg.Quantile)
	e.due = q.Now.Add(late)
	return expected, late
}

// remaining returns how much longer a load takes, by the quantile of load times.
// A load that has taken longer than that is expected to end at Config.Quantile,
// and after that to take as long again as it has taken.
func (c *Chooser) remaining(q Query, load trackedLoad, quantile float64) time.Duration {
	age := q.Now.Sub(load.startedAt)
	total := c.times.Quantile(load.tier, q.MemoryMB, quantile)
	if age < total {
		return total - age
	}
	if late := c.times.Quantile(load.tier, q.MemoryMB, c.cfg.Quantile); age < late {
		return late - age
	}
	return age
}

// roundTrip returns the network round-trip time to a VM.
func (c *Chooser) roundTrip(candidate Candidate) time.Duration {
	switch {
	case candidate.Region != c.cfg.Region:
		return 2 * c.cfg.RegionDelay
	case candidate.Zone != c.cfg.Zone:
		return 2 * c.cfg.ZoneDelay
	}
	return 0
}

// unloadTime returns the time to unload other replicas if the VM lacks memory.
func (c *Chooser) unloadTime(q Query, candidate Candidate) time.Duration {
	if candidate.FreeMB >= q.MemoryMB {
		return 0
	}
	return c.cfg.Unload
}

// queueTime returns how long a request waits until the replica can serve it.
func queueTime(candidate Candidate, serviceTime time.Duration) time.Duration {
	ahead := candidate.Running + candidate.Waiting - candidate.Concurrency + 1
	if ahead <= 0 {
		return 0
	}
	return serviceTime * time.Duration(ahead) / time.Duration(max(1, candidate.Concurrency))
}
