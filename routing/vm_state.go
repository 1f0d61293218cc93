package routing

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// vmState is what a Table knows of one VM.
type vmState struct {
	vm          ident.VM
	incarnation ident.Incarnation
	seq         uint64
	region      ident.Region
	zone        ident.Zone
	hash        uint64
	running     int
	waiting     int
	concurrency int
	draining    bool
	madeAt      time.Time
	waitingBy   [levels]int
	byPriority  bool
	inFlight    [levels]int
	unseen      [levels]int
	prefixes    map[uint64]struct{}
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
