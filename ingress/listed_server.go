package ingress

import (
	"context"

	"github.com/laureltally/laureltally/internal/wait"
)

// listedServer reports whether the server of the chosen VM is the start that the list has. There
// is no grant that says so: the request is sent past a silent sidecar, and the server may have
// started again under its id with another software version. Only requests whose version has to
// be known need it.
func (d *delivery) listedServer(ctx context.Context) bool {
	vm := d.choice.VM
	if !d.needsSoftware() || vm.Started == 0 {
		return true
	}
	if d.s.o.ServerStarted == nil {
		return false
	}
	started, err := d.s.o.ServerStarted(ctx, vm.Address)
	if err != nil || started != vm.Started {
		wait.Notify(d.s.listOutdated)
		d.logEvent("server not known to be the listed one", err)
		return false
	}
	return true
}
