package sidecar

import (
	"context"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/residency"
)

// Engine is the model engine beside the sidecar.
type Engine interface {
	Report(context.Context) (residency.Snapshot, error)
	// Submit sends an order that holds only if the engine has accepted after orders
	// since its start and its server has the id vm, if that is not empty.
	Submit(ctx context.Context, holder ident.VM, o engine.Order, after uint64, vm ident.VM) error
	// Refused tells whether an error of Submit proves that the order is not and
	// will not be accepted.
	Refused(error) bool
}
