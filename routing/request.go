package routing

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// Request holds the properties of a request that a choice depends on.
type Request struct {
	// Region and Zone are those of the router.
	Region ident.Region
	Zone   ident.Zone
	// Priority decides which waiting requests count: those at least as urgent.
	Priority ident.Priority
	// Remaining is the time to the request's deadline. The longer it is, the
	// more time must be gained by sending the request to another region.
	Remaining time.Duration
	// Affinity is a hash of what requests for one VM should have in common: the
	// prompt prefix or the adapter. Zero means no affinity.
	Affinity uint64
	// Exclude is a VM that has just refused or failed the request.
	Exclude ident.VM
	// AllowCrossRegion permits sending the request to another region: its
	// environment has paid volume left.
	AllowCrossRegion bool
}
