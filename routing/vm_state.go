package routing

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// vmState is the state of one VM in a Table.
type vmState struct {
	// The fields that every choice reads come first, so that they are adjacent
	// in memory.
	vm                ident.VM
	region            ident.Region
	hash              uint64
	reportedAt        time.Time
	running           int
	waiting           int
	concurrency       int
	inFlight          [priorityLevels]int32
	unreported        [priorityLevels]int32
	waitingByLevel    [priorityLevels]int32
	hasWaitingByLevel bool
	draining          bool
	runTime           time.Duration
	slowness          slowness

	zone        ident.Zone
	prefixes    hashSet
	incarnation ident.Incarnation
	seq         uint64
	targets     map[Target]struct{}
	netStarts   [priorityLevels]netStarts
}

// fillCandidate sets the fields of c that do not depend on the target.
func (s *vmState) fillCandidate(now time.Time, p ident.Priority, c *Candidate) {
	c.VM, c.Region, c.Zone, c.hash = s.vm, s.region, s.zone, s.hash
	c.Running, c.Waiting, c.Concurrency = s.running, s.waitingFor(p), s.concurrency
	c.InFlight, c.Unreported = countUpTo(&s.inFlight, p), countUpTo(&s.unreported, p)
	c.ReportAge = now.Sub(s.reportedAt)
	c.Leaving = s.draining
}

// waitingFor returns the number of waiting requests that are at least as urgent
// as p, or of all if the report has no counts by priority.
func (s *vmState) waitingFor(p ident.Priority) int {
	if !s.hasWaitingByLevel {
		return s.waiting
	}
	return countUpTo(&s.waitingByLevel, p)
}
