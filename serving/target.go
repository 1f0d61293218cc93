package serving

import "github.com/laureltally/laureltally/ident"

// Target is one service that a route sends requests to, with its share of them.
type Target struct {
	Service ident.Upstream
	// Weight is relative to the other targets of the route.
	Weight float64
}
