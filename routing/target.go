package routing

import "github.com/laureltally/laureltally/ident"

// Target is what a request is routed to: a model of an upstream group, or, with
// an empty Model, a plain service.
type Target struct {
	Upstream ident.Upstream
	Model    ident.Model
}
