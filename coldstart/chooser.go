package coldstart

import (
	"fmt"
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
)

// Chooser decides where requests go that may meet a cold model.
type Chooser struct {
	cfg    Config
	times  *LoadTimes
	models map[ident.Model]*followed
}

// New returns a Chooser that knows of no load. It fails with a *ConfigError.
func New(cfg Config) (*Chooser, error) {
	cfg = cfg.withDefaults()
	if err := cfg.validate(); err != nil {
		return nil, fmt.Errorf("new chooser: %w", err)
	}
	return &Chooser{cfg: cfg, times: NewLoadTimes(), models: make(map[ident.Model]*followed)}, nil
}

// Choose returns where a request goes. If a slot is to be woken, the Chooser
// follows the load from then on. It fails with a *NoReachableVMError.
func (c *Chooser) Choose(q Query) (Choice, error) {
	if q.ServiceTime == 0 {
		q.ServiceTime = c.cfg.ServiceTime
	}
	opts := options(q, c.cfg.ReportLag)
	if len(opts) == 0 {
		return Choice{}, fmt.Errorf("choose: %w", &NoReachableVMError{Model: q.Model, Slots: len(q.Slots)})
	}
	f := c.follow(q, opts)
	e := c.best(q, f, opts)
	if e.action == Wake {
		f.set(wake{vm: e.opt.slot.VM, tier: e.opt.cand.Tier, began: q.Now, due: e.due})
	}
	return Choice{
		VM:             e.opt.slot.VM,
		Fence:          e.opt.slot.Fence,
		Action:         e.action,
		FirstToken:     e.expected,
		FirstTokenLate: e.late,
		Recheck:        e.due,
	}, nil
}

// ObserveLoad records that a load from a tier ended after took.
func (c *Chooser) ObserveLoad(m ident.Model, vm ident.VM, tier engine.Tier, memoryMB int64, took time.Duration) {
	c.times.Observe(tier, memoryMB, took)
	if f, ok := c.models[m]; ok {
		f.drop(vm)
	}
}

// ObserveLoadFailure records that a load ended without a replica. The VM is woken last for
// some time.
func (c *Chooser) ObserveLoadFailure(m ident.Model, vm ident.VM, now time.Time) {
	f, ok := c.models[m]
	if !ok {
		return
	}
	if w, known := f.find(vm); known {
		w.failed, w.due = true, now.Add(c.cfg.Avoid)
		f.set(w)
	}
}

// best returns the option for a request: the best of those in use, or the first
// in the common order that is not, if that gains.
func (c *Chooser) best(q Query, f *followed, opts []option) estimate {
	var inUse, next *estimate
	for _, o := range opts {
		e := c.estimate(q, f, o)
		if e.action == Wake {
			next = earlier(next, &e)
		} else if inUse == nil || e.score() < inUse.score() {
			inUse = &e
		}
	}
	if inUse == nil || next != nil && c.wakeGains(q, inUse, next) {
		return *next
	}
	return *inUse
}

// earlier returns the estimate of the slot to wake: the first in the common
// order, but one on which a load failed last.
func earlier(first, e *estimate) *estimate {
	if first == nil || first.avoid && !e.avoid {
		return e
	}
	return first
}

// wakeGains tells whether another slot is woken: when the queue alone is longer
// than a load, or when the slot in use is overdue or misses the deadline and
// the other one is sooner.
func (c *Chooser) wakeGains(q Query, inUse, next *estimate) bool {
	if inUse.queue > next.score() {
		return true
	}
	if next.score() >= inUse.score() {
		return false
	}
	overdue := inUse.action == Join && !q.Now.Before(inUse.due)
	return overdue || !q.inTime(inUse.expected) && q.inTime(next.expected)
}

// follow returns the loads of the model, brought up to date with what is seen.
func (c *Chooser) follow(q Query, opts []option) *followed {
	f, ok := c.models[q.Model]
	if !ok {
		c.forgetOldest()
		f = &followed{}
		c.models[q.Model] = f
	}
	f.asked = q.Now
	for _, o := range opts {
		c.update(q, f, o)
	}
	f.keep(q.Slots)
	return f
}

// update follows a load that was seen and forgets one that has ended.
func (c *Chooser) update(q Query, f *followed, o option) {
	w, known := f.find(o.slot.VM)
	switch {
	case o.cand.Phase == engine.PhaseLoading && (!known || w.failed):
		late := c.times.Quantile(o.cand.Tier, q.MemoryMB, c.cfg.Quantile)
		f.set(wake{vm: o.slot.VM, tier: o.cand.Tier, began: q.Now, due: q.Now.Add(late)})
	case !known || o.cand.Phase == engine.PhaseLoading:
	case o.cand.Phase == engine.PhaseLoaded:
		f.drop(o.slot.VM)
	case w.failed && q.Now.After(w.due):
		f.drop(o.slot.VM)
	case !w.failed && c.vanished(q, w):
		c.ObserveLoadFailure(q.Model, o.slot.VM, q.Now)
	}
}

// vanished tells whether a load is due and no report shows it any more.
func (c *Chooser) vanished(q Query, w wake) bool {
	return q.Now.After(w.due) && q.Now.Sub(w.began) > c.cfg.ReportLag
}

// forgetOldest makes room for one more model.
func (c *Chooser) forgetOldest() {
	if len(c.models) < c.cfg.MaxModels {
		return
	}
	var oldest ident.Model
	first := true
	for m, f := range c.models {
		if first || f.asked.Before(c.models[oldest].asked) || f.asked.Equal(c.models[oldest].asked) && m < oldest {
			oldest, first = m, false
		}
	}
	delete(c.models, oldest)
}
