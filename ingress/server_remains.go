package ingress

import (
	"context"
	"net/http"

	"github.com/laureltally/laureltally/upstreamhttp"
)

// checkEnd returns an *UnmarkedEndError if nothing shows that the end of a response is one: only
// the end of the connection marks it, and the server has ended. The kernel closes the connections
// of a killed process like those of one that is done.
func (d *delivery) checkEnd(ctx context.Context, response *upstreamhttp.Response) error {
	if response.Framing != upstreamhttp.FramingConnection || d.r.Method == http.MethodHead || d.serverRemains(ctx) {
		return nil
	}
	return &UnmarkedEndError{}
}

// serverRemains reports whether the server that sent a response still accepts connections and,
// for engines, is the start that the list has. One that drains closes its port before it writes
// its last responses, so that nothing can be concluded there; one whose announced removal may
// have come is ended under its responses.
func (d *delivery) serverRemains(ctx context.Context) bool {
	vm := d.choice.VM
	// All suspended time counts as if it had passed since the removal was announced.
	if d.s.clusterState.drains(d.s.o.Now().Add(d.s.o.Suspended()), vm) {
		return true
	}
	if d.requirements.Model == "" || d.s.o.ServerStarted == nil {
		return d.s.client.Probe(ctx, vm.Address) == nil
	}
	started, err := d.s.o.ServerStarted(ctx, vm.Address)
	return err == nil && (vm.Started == 0 || started == vm.Started)
}
