package ingress

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/laureltally/laureltally/fleet"
	"github.com/laureltally/laureltally/internal/boundedhttp"
	"github.com/laureltally/laureltally/internal/boundedhttp/boundedhttptest"
	"github.com/laureltally/laureltally/metastore/memstore"
)

// emptyDirectory has no VMs and no configuration.
type emptyDirectory struct{ fakeDirectory }

func (*emptyDirectory) VMs(context.Context) (fleet.Listing, error) {
	return fleet.Listing{}, errors.New("no list")
}

// A crowd at the port of readiness must neither use up the VM's memory nor keep the load
// balancer's probes out.
func TestCrowdAtReadinessPort(t *testing.T) {
	settings := completeSettings(4*time.Second, 5*time.Second)
	settings.Listen, settings.ReadinessListen = "127.0.0.1:0", "127.0.0.1:0"
	addresses := make(chan net.Addr, 1)
	s, err := New(Options{
		Settings: settings, Directory: &emptyDirectory{fakeDirectory{err: errors.New("no configuration")}}, Store: memstore.New(memstore.Options{}),
		Protocol: fakeProtocol{}, Logger: &log.Logger{Handler: discard.New()}, ReadinessPath: "/ready",
		OnListening:   func(_, probes net.Addr) { addresses <- probes },
		ShutdownDelay: time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	defer func() {
		stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}()
	boundedhttptest.Crowds(t, (<-addresses).String(), boundedhttp.Small(), "/ready", http.StatusServiceUnavailable)
}
