package serving

import "github.com/laureltally/laureltally/ident"

// Service is a group of interchangeable upstream VMs.
type Service struct {
	Name ident.Upstream
	// MaxConns is how many connections a VM accepts from all callers together.
	MaxConns int
	// Engine is nil for a plain service.
	Engine *Engine
}
