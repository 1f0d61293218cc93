// Package admin serves the operator endpoints of a process.
package admin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"
)

// headerReadTimeout bounds the time to read a request header; scrapers send it
// at once.
const headerReadTimeout = time.Second

// ServeMetrics serves metrics under /metrics on address, an IP address with a TCP
// port, until ctx ends, in goroutines of g. If metrics is nil, it does nothing. If it
// can't listen on address, it logs the error and the process runs without metrics.
func ServeMetrics(ctx context.Context, g *errgroup.Group, address string, metrics http.Handler, logger log.Interface) {
	if metrics == nil {
		return
	}
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		logger.WithError(err).Warn("metrics are not served")
		return
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", metrics)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerReadTimeout}
	g.Go(func() error {
		if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve metrics: %w", err)
		}
		return nil
	})
	g.Go(func() error { <-ctx.Done(); return server.Close() })
}
