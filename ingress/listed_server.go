package ingress

import (
	"context"
	"time"

	"github.com/laureltally/laureltally/internal/wait"
)

// knownServer reports whether a request that needs no reservation may be sent to the chosen server.
func (d *delivery) knownServer(ctx context.Context) bool {
	if d.requirements.Model == "" {
		return d.connectListed(ctx)
	}
	return d.listedServer(ctx)
}

// listedServer reports whether the server of the chosen VM is the start that the list has. It is
// asked where no timely grant says so: the server may have started again under its id with
// another software version. Only requests whose version has to be known need it.
func (d *delivery) listedServer(ctx context.Context) bool {
	vm := d.choice.VM
	if !d.needsSoftware() || vm.Started == 0 {
		return true
	}
	if d.s.o.ServerStarted == nil {
		return false
	}
	asked := time.Now()
	started, err := d.s.o.ServerStarted(ctx, vm.Address)
	if err != nil || started != vm.Started || time.Since(asked) > maxGrantDelay {
		wait.Notify(d.s.listOutdated)
		d.logEvent("server not known to be the listed one", err)
		return false
	}
	return true
}
