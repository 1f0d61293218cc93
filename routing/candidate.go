package routing

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// Candidate is one VM that could serve a request.
type Candidate struct {
	VM     ident.VM
	Region ident.Region
	Zone   ident.Zone
	// Running is the requests that run at the VM, as it last reported.
	Running int
	// Waiting is the requests that wait at the VM and are as urgent as the one to
	// be routed or more, or all if only that is known.
	Waiting int
	// Concurrency is how many requests the VM takes at once, as reported.
	Concurrency int
	// InFlight counts the router's own requests that have not ended and are as
	// urgent or more.
	InFlight int
	// Unseen is the router's own requests, as urgent or more, that started after the report was
	// made, less those that ended after it. It may be negative.
	Unseen int
	// ReportAge is the time since the report was made.
	ReportAge time.Duration
	// ServiceTime is how long a request takes once it has started.
	ServiceTime time.Duration
	// PrefixLikely is set when the prefix of the request is probably cached.
	PrefixLikely bool
	// AdapterLoaded is set when the adapter of the request is probably loaded, or
	// when it names none.
	AdapterLoaded bool
	// Share is the part of its usual load that a recovering VM should get, over 0
	// and at most 1. Zero counts as 1.
	Share float64
	// Ejected VMs get requests only if there is no other.
	Ejected bool
	// Leaving VMs get no requests.
	Leaving bool

	// hash orders VMs for a key without hashing the name again.
	hash uint64
	// load is the estimated number of requests at the VM.
	load int
}

// estimate is the number of requests at the VM.
func (c *Candidate) estimate(routers int) int {
	return max(c.InFlight, c.Running+c.Waiting+c.Unseen*routers, 0)
}

// places is how many requests the VM takes at once, less while it recovers.
func (c *Candidate) places() float64 {
	p := float64(max(1, c.Concurrency))
	if c.Share > 0 {
		p *= c.Share
	}
	return p
}
