package routing

import (
	"math"
	"time"

	"github.com/laureltally/laureltally/ident"
)

const (
	// slownessHalfLife is how long after its statement half of a slowness still counts: a
	// slow phase takes about 600 ms, and the statement falls anywhere within it.
	slownessHalfLife = 150 * time.Millisecond
	// meanSlownessTime is the time constant of the mean slowness, many slow phases.
	meanSlownessTime = 10 * time.Second
	// maxStatementSpan bounds the time that one statement stands for in the mean. Statements
	// that are seconds apart tell nothing of the time between.
	maxStatementSpan = 300 * time.Millisecond
)

// slowness is what a VM on a shared machine states of its speed at the moment. It handles
// machines that are slow for some hundred milliseconds at a time: a statement counts fully
// when it is new and decays to the VM's mean.
type slowness struct {
	stated   float64
	statedAt time.Time
	mean     float64
}

// known reports whether the VM has stated its slowness.
func (s *slowness) known() bool { return s.stated > 0 }

// observe takes a statement. The mean starts at the usual slowness, so that a VM whose first
// statement falls into a slow phase is not avoided for long.
func (s *slowness) observe(now time.Time, stated float64) {
	if !s.known() {
		s.mean = 1
	} else {
		span := min(maxStatementSpan, now.Sub(s.statedAt))
		s.mean += (1 - math.Exp(-span.Seconds()/meanSlownessTime.Seconds())) * (stated - s.mean)
	}
	s.stated, s.statedAt = stated, now
}

// at returns the expected slowness at a time after the newest statement.
func (s *slowness) at(now time.Time) float64 {
	age := max(0, now.Sub(s.statedAt).Seconds())
	return s.mean + (s.stated-s.mean)*math.Exp2(-age/slownessHalfLife.Seconds())
}

// ObserveSlowness takes how long work takes on a VM at this moment, as a multiple of the
// usual time. Zero means that the VM did not state it.
func (t *Table) ObserveSlowness(now time.Time, vm ident.VM, stated float64) {
	if s := t.vms[vm]; s != nil && stated > 0 {
		s.slowness.observe(now, stated)
	}
}
