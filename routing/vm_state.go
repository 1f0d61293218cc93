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
	waitingBy   []int
	inFlight    [levels]int
	unseen      [levels]int
	recent      [levels]recent
	prefixes    map[uint64]struct{}
	targets     map[Target]struct{}
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
	if len(s.waitingBy) == 0 {
		return s.waiting
	}
	n := 0
	for _, w := range s.waitingBy[:min(len(s.waitingBy), max(0, int(p))+1)] {
		n += w
	}
	return n
}
