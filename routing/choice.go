package routing

import "time"

// Choice is the chosen candidate.
type Choice struct {
	// Index is the position among the candidates.
	Index int
	// Wait is the estimated time until the request starts, with the links.
	Wait time.Duration
	// ServiceTime is that of the candidate.
	ServiceTime time.Duration
	// CrossRegion is set when the candidate is in another region.
	CrossRegion bool
	// Affine is set when the candidate is the one that the request's affinity
	// leads to, load aside.
	Affine bool
}
