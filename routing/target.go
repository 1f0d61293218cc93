package routing

import "github.com/laureltally/laureltally/ident"

// Target is the destination of a request: a model of an upstream group or, with
// an empty Model, a service.
type Target struct {
	Upstream ident.Upstream
	Model    ident.Model
}
