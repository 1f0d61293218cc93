package routing

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// Candidate is a VM that could serve a request.
type Candidate struct {
	VM     ident.VM
	Region ident.Region
	Zone   ident.Zone
	// Running is the number of running requests in the last report of the VM.
	Running int
	// Waiting is the number of requests waiting at the VM that are at least as
	// urgent as the one to route, or of all waiting requests if the report has
	// no counts by priority.
	Waiting int
	// Concurrency is how many requests the VM serves at once, as reported.
	Concurrency int
	// InFlight is the number of the router's own requests in flight that are at
	// least as urgent.
	InFlight int
	// Unreported is the number of the router's own requests, at least as urgent,
	// that started after the report was made, minus those that ended after it.
	// It may be negative.
	Unreported int
	// ReportAge is the age of the report.
	ReportAge time.Duration
	// ServiceTime is the expected time from the start of a request to its end.
	ServiceTime time.Duration
	// PrefixLikely is set when the prompt prefix of the request is probably
	// cached.
	PrefixLikely bool
	// AdapterLoaded is set when the adapter of the request is probably loaded,
	// or the request names none.
	AdapterLoaded bool
	// Share is the fraction of its usual load that a recovering VM should get,
	// over 0 and at most 1. Zero counts as 1.
	Share float64
	// Ejected VMs get requests only if there are no others.
	Ejected bool
	// Leaving VMs get no requests.
	Leaving bool

	// hash is the hash of VM, stored to avoid computing it for each choice.
	hash uint64
	// load is the estimated number of requests at the VM.
	load int
}

// estimatedLoad returns the estimated number of requests at the VM.
func (c *Candidate) estimatedLoad(routers int) int {
	return max(c.InFlight, c.Running+c.Waiting+c.Unreported*routers, 0)
}

// effectiveConcurrency returns how many requests the VM serves at once, reduced
// while it recovers.
func (c *Candidate) effectiveConcurrency() float64 {
	p := float64(max(1, c.Concurrency))
	if c.Share > 0 {
		p *= c.Share
	}
	return p
}
