// Package admin serves the operator endpoints of a process.
package admin

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"github.com/laureltally/laureltally/internal/boundedhttp"
)

// ServeMetrics serves metrics under /metrics on address, an IP address with a TCP
// port, until ctx ends, in goroutines of g. If metrics is nil, it does nothing. If it
// can't listen on address, it logs the error and the process runs without metrics.
func ServeMetrics(ctx context.Context, g *errgroup.Group, address string, metrics http.Handler, logger log.Interface) {
	if metrics == nil {
		return
	}
	ln, err := listen(address)
	if err != nil {
		logger.WithError(err).Warn("metrics are not served")
		return
	}
	serveMetrics(ctx, g, ln, metrics)
}

func listen(address string) (*boundedhttp.Listener, error) {
	return boundedhttp.Listen("tcp4", address, boundedhttp.Small())
}

func serveMetrics(ctx context.Context, g *errgroup.Group, ln *boundedhttp.Listener, metrics http.Handler) {
	mux := http.NewServeMux()
	mux.Handle("/metrics", metrics)
	server := ln.Server(mux)
	g.Go(func() error {
		if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve metrics: %w", err)
		}
		return nil
	})
	g.Go(func() error { <-ctx.Done(); return server.Close() })
}
