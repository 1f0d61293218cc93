package coldstart

import (
	"fmt"
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
)

// Chooser selects the VM for requests whose model may not be loaded.
type Chooser struct {
	cfg     Config
	times   *LoadTimes
	tracked map[ident.Model]*trackedLoads
}

// New returns a Chooser that tracks no load. It fails with a *ConfigError.
func New(cfg Config) (*Chooser, error) {
	cfg = cfg.withDefaults()
	if err := cfg.validate(); err != nil {
		return nil, fmt.Errorf("new chooser: %w", err)
	}
	return &Chooser{cfg: cfg, times: NewLoadTimes(), tracked: make(map[ident.Model]*trackedLoads)}, nil
}

// Choose returns the routing decision for a request. If it starts a load, the
// Chooser tracks that load. It fails with a *NoReachableVMError.
func (c *Chooser) Choose(q Query) (Choice, error) {
	if q.ServiceTime == 0 {
		q.ServiceTime = c.cfg.ServiceTime
	}
	opts := options(q, c.cfg.ReportLag)
	if len(opts) == 0 {
		return Choice{}, fmt.Errorf("choose: %w", &NoReachableVMError{Model: q.Model, Slots: len(q.Slots)})
	}
	loads := c.track(q, opts)
	e := c.bestOption(q, loads, opts)
	if e.action == StartLoad {
		loads.put(trackedLoad{vm: e.target.slot.VM, tier: e.target.candidate.Tier, startedAt: q.Now, due: e.due})
	}
	return Choice{
		VM:             e.target.slot.VM,
		Fence:          e.target.slot.Fence,
		Action:         e.action,
		FirstToken:     e.expected,
		FirstTokenLate: e.late,
		Recheck:        e.due,
	}, nil
}

// ObserveLoad records the duration of a load from a tier.
func (c *Chooser) ObserveLoad(m ident.Model, vm ident.VM, tier engine.Tier, memoryMB int64, took time.Duration) {
	c.times.Observe(tier, memoryMB, took)
	if loads, ok := c.tracked[m]; ok {
		loads.remove(vm)
	}
}

// ObserveLoadFailure records that a load ended without a replica. For
// Config.Avoid the VM comes last in load order.
func (c *Chooser) ObserveLoadFailure(m ident.Model, vm ident.VM, now time.Time) {
	loads, ok := c.tracked[m]
	if !ok {
		return
	}
	if load, known := loads.find(vm); known {
		load.failed, load.due = true, now.Add(c.cfg.Avoid)
		loads.put(load)
	}
}

// bestOption returns the lowest estimate among the VMs that have the model
// loaded or loading, or the first VM in load order if loading there is better.
func (c *Chooser) bestOption(q Query, loads *trackedLoads, opts []option) estimate {
	var inUse, unloaded *estimate
	for _, o := range opts {
		e := c.estimate(q, loads, o)
		if e.action == StartLoad {
			unloaded = preferredLoad(unloaded, &e)
		} else if inUse == nil || e.score() < inUse.score() {
			inUse = &e
		}
	}
	if inUse == nil || unloaded != nil && c.shouldLoad(q, inUse, unloaded) {
		return *unloaded
	}
	return *inUse
}

// preferredLoad returns first, which comes before e in load order, or e if a load
// failed recently on the VM of first and not on that of e.
func preferredLoad(first, e *estimate) *estimate {
	if first == nil || first.recentlyFailed && !e.recentlyFailed {
		return e
	}
	return first
}

// shouldLoad reports whether to load another replica: if the queue alone takes
// longer than the load, or if the load is faster and the replica in use is
// overdue or misses a deadline that the new one meets.
func (c *Chooser) shouldLoad(q Query, inUse, unloaded *estimate) bool {
	if inUse.queue > unloaded.score() {
		return true
	}
	if unloaded.score() >= inUse.score() {
		return false
	}
	overdue := inUse.action == Join && !q.Now.Before(inUse.due)
	return overdue || !q.meetsDeadline(inUse.expected) && q.meetsDeadline(unloaded.expected)
}

// track returns the tracked loads of the model, updated from the candidates.
func (c *Chooser) track(q Query, opts []option) *trackedLoads {
	loads, ok := c.tracked[q.Model]
	if !ok {
		c.evictOldest()
		loads = &trackedLoads{}
		c.tracked[q.Model] = loads
	}
	loads.lastQuery = q.Now
	for _, o := range opts {
		c.updateLoad(q, loads, o)
	}
	loads.retain(q.Slots)
	return loads
}

// updateLoad tracks a reported load and removes one that has ended.
func (c *Chooser) updateLoad(q Query, loads *trackedLoads, o option) {
	load, known := loads.find(o.slot.VM)
	switch {
	case o.candidate.Phase == engine.PhaseLoading && (!known || load.failed):
		late := c.times.Quantile(o.candidate.Tier, q.MemoryMB, c.cfg.Quantile)
		loads.put(trackedLoad{vm: o.slot.VM, tier: o.candidate.Tier, startedAt: q.Now, due: q.Now.Add(late)})
	case !known || o.candidate.Phase == engine.PhaseLoading:
	case o.candidate.Phase == engine.PhaseLoaded:
		loads.remove(o.slot.VM)
	case load.failed && q.Now.After(load.due):
		loads.remove(o.slot.VM)
	case !load.failed && c.unreported(q, load):
		c.ObserveLoadFailure(q.Model, o.slot.VM, q.Now)
	}
}

// unreported reports whether a load is overdue and must have appeared in a
// report by now.
func (c *Chooser) unreported(q Query, load trackedLoad) bool {
	return q.Now.After(load.due) && q.Now.Sub(load.startedAt) > c.cfg.ReportLag
}

// evictOldest removes the model with the oldest query if Config.MaxModels is
// reached.
func (c *Chooser) evictOldest() {
	if len(c.tracked) < c.cfg.MaxModels {
		return
	}
	var oldest ident.Model
	first := true
	for m, loads := range c.tracked {
		if first || loads.lastQuery.Before(c.tracked[oldest].lastQuery) || loads.lastQuery.Equal(c.tracked[oldest].lastQuery) && m < oldest {
			oldest, first = m, false
		}
	}
	delete(c.tracked, oldest)
}
