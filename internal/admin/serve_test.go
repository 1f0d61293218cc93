package admin

import (
	"context"
	"net/http"
	"testing"

	"golang.org/x/sync/errgroup"

	"github.com/laureltally/laureltally/internal/boundedhttp"
	"github.com/laureltally/laureltally/internal/boundedhttp/boundedhttptest"
)

// A crowd at the port of metrics must neither use up the VM's memory nor keep scrapers out.
func TestCrowdAtMetrics(t *testing.T) {
	ln, err := listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	g := &errgroup.Group{}
	defer func() {
		stop()
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
	}()
	serveMetrics(ctx, g, ln, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	boundedhttptest.Crowds(t, ln.Addr().String(), boundedhttp.Small(), "/metrics", http.StatusOK)
}
