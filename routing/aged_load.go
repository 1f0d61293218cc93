package routing

import (
	"math"
	"time"
)

// loadHalfLife is how long after its statement half of a load still counts. Plain servers
// state their load only in responses; with many routers, a router gets one from a server
// about each second, in which the server works off its queue several times.
const loadHalfLife = 300 * time.Millisecond

// meanUtilization returns the mean utilization of the VMs, by their newest reports.
func meanUtilization(members []member) float64 {
	load, concurrency := 0, 0
	for i := range members {
		s := members[i].state
		load += s.running + s.waiting
		concurrency += s.concurrency
	}
	return float64(load) / float64(max(1, concurrency))
}

// ageLoad moves the load of a candidate towards the mean utilization as its report ages. It
// prevents many routers from avoiding a server long after its queue has gone, and from
// sending to one that was free a second ago.
func (c *Candidate) ageLoad(meanUtilization float64) {
	newest := math.Exp2(-max(0, c.ReportAge.Seconds()) / loadHalfLife.Seconds())
	expected := newest*float64(c.Running+c.Waiting) + (1-newest)*meanUtilization*float64(c.Concurrency)
	c.Running, c.Waiting = int(math.Round(expected)), 0
}
