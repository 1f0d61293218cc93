package ingress

import (
	"time"

	"github.com/laureltally/laureltally/placement"
)

const (
	// queueShare is the part of the time to the objective that a request may queue
	// for a VM that has its model loaded; the rest is for reading the prompt.
	queueShare = 0.6
	// loadShare is the part of the time to the deadline that a request may wait for
	// a load that has begun or needs nothing from the weight store.
	loadShare = 0.5
)

// patience is how long a request waits for its place at a VM. A request whose
// model has to be loaded waits for the load, if that leaves it time to run;
// others are better refused early, while the caller can still come back.
func (d *delivery) patience(now time.Time, c placement.Choice) time.Duration {
	toObjective := time.Duration(queueShare * float64(d.start.Add(d.route.Objective).Sub(now)))
	toDeadline := time.Duration(loadShare * float64(d.deadline.Sub(now)))
	if c.Readiness == placement.Loaded {
		return max(0, min(toObjective, toDeadline))
	}
	return max(0, toDeadline)
}
