package ingress

import (
	"context"
	"errors"
	"time"

	"github.com/laureltally/laureltally/internal/wait"
)

const (
	// listWaitTimeout bounds the wait for a list of the VMs after a new connection.
	listWaitTimeout = time.Second
	// listCheckInterval is the interval at which such a request looks for the list.
	listCheckInterval = 10 * time.Millisecond
)

// connectListed connects to the chosen server of a service without sidecars, if its software
// version has to be known: the server may have started again under its id with another one.
// Nobody states its start, but a connection ends with the server's process, so that a list
// which was asked for after the connection was established shows what is at its other end. It
// returns a *StartUnknownError if that is not the start which was chosen.
func (d *delivery) connectListed(ctx context.Context) error {
	d.releaseConnection()
	vm := d.choice.VM
	if !d.needsSoftware() || vm.Started == 0 {
		return nil
	}
	connection, err := d.s.client.Connect(ctx, vm.Address, d.s.clusterState.listedAt())
	if err != nil {
		// The attempt fails with it, and counts as one that did not reach the server.
		d.connectError = err
		return nil
	}
	d.connection = connection
	ctx, cancel := context.WithTimeout(ctx, listWaitTimeout)
	defer cancel()
	for {
		listed, same := d.s.clusterState.listedSince(connection.EstablishedAt(), vm)
		if listed && same {
			return nil
		}
		if !listed {
			wait.Notify(d.s.listOutdated)
		}
		if listed || wait.Sleep(ctx, listCheckInterval) != nil {
			d.releaseConnection()
			return &StartUnknownError{}
		}
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

// plainServer connects to the chosen server of a service without sidecars. It returns false
// if the request can't be sent there, and another server may be chosen unless it has ended.
func (d *delivery) plainServer(ctx context.Context) (ok, ended bool) {
	err := d.connectListed(ctx)
	var unknown *StartUnknownError
	if !errors.As(err, &unknown) {
		return true, false
	}
	d.logEvent("server not known to be the listed one", err)
	if d.r.Context().Err() != nil {
		d.callerGoneWhileWaiting()
		return false, true
	}
	d.requirements.Exclude = append(d.requirements.Exclude, d.choice.VM.ID)
	if !d.asksFurther(err) {
		d.noVM(err)
		return false, true
	}
	return false, false
}
