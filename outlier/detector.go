package outlier

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// Detector tracks the results of requests to the VMs of one upstream group.
// Create one with New.
type Detector struct {
	opts        Options
	vms         map[ident.VM]*vmState
	unavailable int
}

// New returns a Detector without VMs. It fails with an *OptionError.
func New(o Options) (*Detector, error) {
	o = o.withDefaults()
	if err := o.validate(); err != nil {
		return nil, err
	}
	return &Detector{opts: o, vms: make(map[ident.VM]*vmState)}, nil
}

// Add adds a VM. A VM that was not added counts as healthy, and its results are
// ignored.
func (d *Detector) Add(vm ident.VM) {
	if d.vms[vm] == nil {
		d.vms[vm] = &vmState{phase: Healthy}
	}
}

// Remove deletes a VM that has left the membership.
func (d *Detector) Remove(vm ident.VM) {
	if s := d.vms[vm]; s != nil {
		d.setPhase(s, Healthy)
		delete(d.vms, vm)
	}
}

// Status returns what may be sent to a VM now.
func (d *Detector) Status(now time.Time, vm ident.VM) Status {
	s := d.vms[vm]
	if s == nil {
		return Status{Phase: Healthy, LoadShare: 1}
	}
	d.advance(now, s)
	switch s.phase {
	case Ejected:
		return Status{Phase: Ejected, Blocked: true}
	case Probing:
		return Status{Phase: Probing, Blocked: s.inFlight > 0, LoadShare: d.opts.RampStart}
	case Recovering:
		return Status{Phase: Recovering, LoadShare: d.rampShare(now, s)}
	}
	return Status{Phase: Healthy, LoadShare: 1}
}

// RequestStarted records a request sent to a VM.
func (d *Detector) RequestStarted(now time.Time, vm ident.VM) {
	if s := d.vms[vm]; s != nil {
		d.advance(now, s)
		s.inFlight++
	}
}

// RequestEnded records the result of a request. ok must also be set for a
// refusal because of load, which is no failure.
func (d *Detector) RequestEnded(now time.Time, vm ident.VM, ok bool) {
	s := d.vms[vm]
	if s == nil {
		return
	}
	d.advance(now, s)
	switch s.phase {
	case Ejected:
	case Probing:
		d.recordProbe(now, s, ok)
	default:
		s.inFlight = max(0, s.inFlight-1)
		s.recordResult(now, ok, d.opts.Window)
		if !ok && d.exceedsThreshold(s) && d.canEject() {
			d.eject(now, s)
		}
	}
}

// advance performs the phase changes that are due at now.
func (d *Detector) advance(now time.Time, s *vmState) {
	if s.phase == Ejected && !now.Before(s.ejectedUntil) {
		s.reset()
		d.setPhase(s, Probing)
	}
	if s.phase == Recovering && now.Sub(s.recoveringSince) >= d.opts.Ramp {
		s.ejections = 0
		d.setPhase(s, Healthy)
	}
}

// recordProbe records the result of a probe. If none is in flight, the result
// is that of a request from before the ejection. It is ignored, because it gives
// no new information.
func (d *Detector) recordProbe(now time.Time, s *vmState, ok bool) {
	if s.inFlight == 0 {
		return
	}
	s.inFlight--
	if !ok {
		d.eject(now, s)
		return
	}
	s.probesPassed++
	if s.probesPassed >= d.opts.Probes {
		s.recoveringSince = now
		d.setPhase(s, Recovering)
	}
}

func (d *Detector) exceedsThreshold(s *vmState) bool {
	if s.consecutive >= d.opts.Consecutive {
		return true
	}
	return s.requests >= float64(d.opts.MinRequests) && s.failures >= s.requests*d.opts.FailShare
}

// canEject reports whether one more VM may be unavailable.
func (d *Detector) canEject() bool {
	n := len(d.vms)
	return n > 1 && d.unavailable < max(1, int(float64(n)*d.opts.MaxShare))
}

func (d *Detector) eject(now time.Time, s *vmState) {
	duration := min(d.opts.MaxTime, doubledTimes(d.opts.BaseTime, s.ejections))
	duration += time.Duration(d.opts.Rand.Int64N(int64(duration)/2 + 1))
	s.ejections++
	s.ejectedUntil = now.Add(duration)
	d.setPhase(s, Ejected)
}

// setPhase changes the phase and updates the number of unavailable VMs.
func (d *Detector) setPhase(s *vmState, p Phase) {
	d.unavailable += unavailable(p) - unavailable(s.phase)
	s.phase = p
}

func unavailable(p Phase) int {
	if p == Ejected || p == Probing {
		return 1
	}
	return 0
}

func (d *Detector) rampShare(now time.Time, s *vmState) float64 {
	progress := float64(now.Sub(s.recoveringSince)) / float64(max(1, d.opts.Ramp))
	return min(1, d.opts.RampStart+(1-d.opts.RampStart)*progress)
}

// maxDoublings keeps doubledTimes from overflowing.
const maxDoublings = 16

func doubledTimes(d time.Duration, times int) time.Duration {
	return d << min(times, maxDoublings)
}
