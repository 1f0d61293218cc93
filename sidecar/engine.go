package sidecar

import (
	"context"
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/residency"
)

// Engine is the client of the model engine beside the sidecar.
type Engine interface {
	Report(context.Context) (residency.Snapshot, error)
	// Submit sends an order for owner, the VM that controls the engine. The order is
	// valid only if the engine has accepted expectedAccepted orders since its start
	// and, unless vm is empty, its server has the id vm.
	Submit(ctx context.Context, owner ident.VM, o engine.Order, expectedAccepted uint64, vm ident.VM) error
	// Refused reports whether an error of Submit proves that the order has not been
	// and will not be accepted.
	Refused(error) bool
	// Pause returns how long the engine wants no calls after a call that failed with an
	// error, or zero.
	Pause(error) time.Duration
}
