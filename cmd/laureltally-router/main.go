// Command laureltally-router serves callers' requests on an entry VM.
//
// The exit code is 0 after a graceful shutdown, 1 after a failure and 2 for an
// invalid command line.
package main

import (
	"context"
	"os"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/daemon"
	"github.com/laureltally/laureltally/router"
)

func main() { os.Exit(daemon.Main("laureltally-router", run)) }

func run(ctx context.Context, a daemon.Arguments) error {
	s, err := config.ReadRouterSettingsFile(a.Settings)
	if err != nil {
		return err
	}
	components, err := daemon.NewComponents(daemon.ComponentsOptions{Program: "router", VM: s.VM, Platform: s.Platform, TLS: s.TLS, Log: s.Log})
	if err != nil {
		return err
	}
	defer components.Metrics.Close()
	server, err := router.New(router.Options{
		Settings:       s,
		Store:          components.Platform,
		VMs:            components.Platform,
		Credentials:    components.Credentials,
		Logger:         components.Logger,
		Metrics:        components.Metrics.Scope,
		MetricsHandler: components.Metrics.Handler,
	})
	if err != nil {
		return err
	}
	return server.Run(ctx)
}
