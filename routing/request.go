package routing

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// Request is what a choice needs to know of a request.
type Request struct {
	// Region and Zone are the router's.
	Region ident.Region
	Zone   ident.Zone
	// Priority tells which waiting requests count: the as urgent and more urgent.
	Priority ident.Priority
	// Remaining is the time to the request's deadline. The more there is, the more
	// crossing has to gain.
	Remaining time.Duration
	// Affinity is a hash of what should stay together on one VM: the prompt
	// prefix, or the adapter. Zero means that nothing should.
	Affinity uint64
	// Exclude is a VM that has just refused or failed the request.
	Exclude ident.VM
	// AllowCrossRegion lets the request leave the region: its environment has paid
	// volume left.
	AllowCrossRegion bool
}
