package serving

import "github.com/laureltally/laureltally/ident"

// Target is one service that a route sends to, with its share of the requests.
type Target struct {
	Service ident.Upstream
	// Weight is relative to the other targets of the route.
	Weight float64
}
