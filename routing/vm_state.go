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
	inFlight    int
	unseen      int
	recent      recent
	prefixes    map[uint64]struct{}
	targets     map[Target]struct{}
}

// candidate fills out all that does not depend on the target.
func (s *vmState) candidate(now time.Time, c *Candidate) {
	c.VM, c.Region, c.Zone, c.hash = s.vm, s.region, s.zone, s.hash
	c.Running, c.Waiting, c.Concurrency = s.running, s.waiting, s.concurrency
	c.InFlight, c.Unseen = s.inFlight, s.unseen
	c.ReportAge = now.Sub(s.madeAt)
	c.Leaving = s.draining
}
