package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Timeouts of the server.
const (
	readHeaderTimeout = 10 * time.Second
	shutdownTimeout   = 10 * time.Second
)

// serve listens, prints the ready line and serves until ctx ends. Requests in flight
// then have shutdownTimeout to finish. Request contexts are derived from base.
func serve(ctx, base context.Context, listen string, h http.Handler, stdout io.Writer) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		BaseContext:       func(net.Listener) context.Context { return base },
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(l) }()
	fmt.Fprintln(stdout, "ready", l.Addr())
	select {
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	return shutdown(server)
}

func shutdown(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	err := server.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		err = server.Close()
	}
	if err != nil {
		return fmt.Errorf("shut down: %w", err)
	}
	return nil
}
