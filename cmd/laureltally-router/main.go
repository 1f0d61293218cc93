// Command laureltally-router serves callers on an entry VM.
//
// The exit code is 0 after a graceful shutdown, 1 after a failure and 2 for a
// wrong command line.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/daemon"
	"github.com/laureltally/laureltally/keys"
	"github.com/laureltally/laureltally/platform/objecthttp"
	"github.com/laureltally/laureltally/router"
)

func main() { os.Exit(daemon.Main("laureltally-router", run)) }

func run(ctx context.Context, a daemon.Arguments) error {
	s, err := config.ReadRouterSettingsFile(a.Settings)
	if err != nil {
		return err
	}
	logger, err := daemon.NewLogger(os.Stderr, s.Log, s.VM)
	if err != nil {
		return err
	}
	credentials, err := keys.NewReloader(keys.ReloaderOptions{CA: s.TLS.CA, Certificate: s.TLS.Cert, Key: s.TLS.Key, Logger: logger})
	if err != nil {
		return fmt.Errorf("credentials: %w", err)
	}
	client, err := objecthttp.New(objecthttp.Options{BaseURL: s.Platform})
	if err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	metrics := daemon.NewMetrics("router")
	defer metrics.Close()
	server, err := router.New(router.Options{
		Settings:       s,
		Store:          client,
		VMs:            client,
		Credentials:    credentials,
		Logger:         logger,
		Metrics:        metrics.Scope,
		MetricsHandler: metrics.Handler,
	})
	if err != nil {
		return err
	}
	return server.Run(ctx)
}
