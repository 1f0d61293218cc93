package routing

import "time"

// Choice is the chosen candidate.
type Choice struct {
	// Index is the index of the candidate.
	Index int
	// Wait is the estimated time until the request starts, including network
	// delays.
	Wait time.Duration
	// ServiceTime is the service time of the candidate.
	ServiceTime time.Duration
	// CrossRegion is set when the candidate is in another region.
	CrossRegion bool
	// Affine is set when the candidate is the one that the request's affinity
	// prefers, regardless of load.
	Affine bool
}
