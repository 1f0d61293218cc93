package ingress

import (
	"context"
	"time"

	"github.com/laureltally/laureltally/internal/wait"
)

// listWaitTimeout bounds the wait of a request for a list of the VMs that is newer than its
// connection.
const listWaitTimeout = time.Second

// connectListed connects to the chosen server of a service without sidecars, if its software
// version has to be known: the server may have started again under its id with another one.
// Nobody states its start, but a connection ends with the server's process, so that a list
// which was asked for after the connection was established shows what is at its other end. It
// returns false if that can't be shown to be the start which was chosen.
func (d *delivery) connectListed(ctx context.Context) bool {
	d.releaseConnection()
	vm := d.choice.VM
	if !d.needsSoftware() || vm.Started == 0 {
		return true
	}
	connection, err := d.s.client.Connect(ctx, vm.Address, d.s.clusterState.listedAt())
	if err != nil {
		// The attempt fails with it, and counts as one that did not reach the server.
		d.connectError = err
		return true
	}
	d.connection = connection
	ctx, cancel := context.WithTimeout(ctx, listWaitTimeout)
	defer cancel()
	for {
		listed, same, next := d.s.clusterState.listedSince(connection.EstablishedAt(), vm)
		if listed && same {
			return true
		}
		if !listed {
			wait.Notify(d.s.listOutdated)
			select {
			case <-next:
				continue
			case <-ctx.Done():
			}
		}
		d.releaseConnection()
		d.logEvent("server not known to be the listed one", ctx.Err())
		return false
	}
}

// releaseConnection gives up a connection that no request was sent on.
func (d *delivery) releaseConnection() {
	d.connectError = nil
	if d.connection != nil {
		d.connection.Release()
		d.connection = nil
	}
}
