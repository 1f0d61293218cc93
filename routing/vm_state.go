package routing

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// vmState is what a Table knows of one VM.
type vmState struct {
	// The fields that every choice reads come first and lie together.
	vm          ident.VM
	region      ident.Region
	hash        uint64
	madeAt      time.Time
	running     int
	waiting     int
	concurrency int
	inFlight    [levels]int32
	unseen      [levels]int32
	waitingBy   [levels]int32
	byPriority  bool
	draining    bool
	runTime     time.Duration

	zone        ident.Zone
	prefixes    hashSet
	incarnation ident.Incarnation
	seq         uint64
	targets     map[Target]struct{}
	recent      [levels]recent
}

// candidate fills out all that does not depend on the target.
func (s *vmState) candidate(now time.Time, p ident.Priority, c *Candidate) {
	c.VM, c.Region, c.Zone, c.hash = s.vm, s.region, s.zone, s.hash
	c.Running, c.Waiting, c.Concurrency = s.running, s.waitingFor(p), s.concurrency
	c.InFlight, c.Unseen = upTo(&s.inFlight, p), upTo(&s.unseen, p)
	c.ReportAge = now.Sub(s.madeAt)
	c.Leaving = s.draining
}

// waitingFor counts the waiting requests that are as urgent as p or more.
func (s *vmState) waitingFor(p ident.Priority) int {
	if !s.byPriority {
		return s.waiting
	}
	return upTo(&s.waitingBy, p)
}
