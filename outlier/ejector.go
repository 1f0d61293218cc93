package outlier

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// Detector follows the results of the VMs of one upstream group. Create one with
// New.
type Detector struct {
	opts    Options
	records map[ident.VM]*record
	out     int
}

// New returns an Ejector without VMs. It fails with an *OptionError.
func New(o Options) (*Detector, error) {
	o = o.withDefaults()
	if err := o.validate(); err != nil {
		return nil, err
	}
	return &Detector{opts: o, records: make(map[ident.VM]*record)}, nil
}

// Add makes a VM known; until then it counts as healthy and nothing is learned.
func (e *Detector) Add(vm ident.VM) {
	if e.records[vm] == nil {
		e.records[vm] = &record{phase: Healthy}
	}
}

// Remove forgets a VM that has left the membership.
func (e *Detector) Remove(vm ident.VM) {
	if r := e.records[vm]; r != nil {
		e.settle(r, Healthy)
		delete(e.records, vm)
	}
}

// Status tells what may be sent to a VM now.
func (e *Detector) Status(now time.Time, vm ident.VM) Status {
	r := e.records[vm]
	if r == nil {
		return Status{Phase: Healthy, LoadShare: 1}
	}
	e.advance(now, r)
	switch r.phase {
	case Ejected:
		return Status{Phase: Ejected, Blocked: true}
	case Probing:
		return Status{Phase: Probing, Blocked: r.probing > 0, LoadShare: e.opts.RampStart}
	case Recovering:
		return Status{Phase: Recovering, LoadShare: e.share(now, r)}
	}
	return Status{Phase: Healthy, LoadShare: 1}
}

// RequestStarted counts a request that is sent to a VM.
func (e *Detector) RequestStarted(now time.Time, vm ident.VM) {
	if r := e.records[vm]; r != nil {
		e.advance(now, r)
		r.probing++
	}
}

// RequestEnded takes the result of a request. A refusal because of load is no failure.
func (e *Detector) RequestEnded(now time.Time, vm ident.VM, ok bool) {
	r := e.records[vm]
	if r == nil {
		return
	}
	e.advance(now, r)
	switch r.phase {
	case Ejected:
	case Probing:
		e.probed(now, r, ok)
	default:
		r.probing = max(0, r.probing-1)
		r.count(now, ok, e.opts.Window)
		if !ok && e.bad(r) && e.mayEject() {
			e.eject(now, r)
		}
	}
}

// advance makes the transitions that are due to time alone.
func (e *Detector) advance(now time.Time, r *record) {
	if r.phase == Ejected && !now.Before(r.until) {
		r.reset()
		e.settle(r, Probing)
	}
	if r.phase == Recovering && now.Sub(r.rampFrom) >= e.opts.Ramp {
		r.ejections = 0
		e.settle(r, Healthy)
	}
}

// probed takes the result of a probe. With none under way it is that of a request
// from before the ejection, which says nothing new.
func (e *Detector) probed(now time.Time, r *record, ok bool) {
	if r.probing == 0 {
		return
	}
	r.probing--
	if !ok {
		e.eject(now, r)
		return
	}
	r.passed++
	if r.passed >= e.opts.Probes {
		r.rampFrom = now
		e.settle(r, Recovering)
	}
}

func (e *Detector) bad(r *record) bool {
	if r.consecutive >= e.opts.Consecutive {
		return true
	}
	return r.requests >= float64(e.opts.MinRequests) && r.failures >= r.requests*e.opts.FailShare
}

// mayEject tells whether one more VM may be out.
func (e *Detector) mayEject() bool {
	n := len(e.records)
	return n > 1 && e.out < max(1, int(float64(n)*e.opts.MaxShare))
}

func (e *Detector) eject(now time.Time, r *record) {
	d := min(e.opts.MaxTime, doubled(e.opts.BaseTime, r.ejections))
	d += time.Duration(e.opts.Rand.Int64N(int64(d)/2 + 1))
	r.ejections++
	r.until = now.Add(d)
	e.settle(r, Ejected)
}

// settle changes the phase and counts the VMs that are out.
func (e *Detector) settle(r *record, p Phase) {
	e.out += out(p) - out(r.phase)
	r.phase = p
}

func out(p Phase) int {
	if p == Ejected || p == Probing {
		return 1
	}
	return 0
}

func (e *Detector) share(now time.Time, r *record) float64 {
	done := float64(now.Sub(r.rampFrom)) / float64(max(1, e.opts.Ramp))
	return min(1, e.opts.RampStart+(1-e.opts.RampStart)*done)
}

// maxDoublings keeps doubled from overflowing.
const maxDoublings = 16

func doubled(d time.Duration, times int) time.Duration {
	return d << min(times, maxDoublings)
}
