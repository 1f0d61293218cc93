// Command laureltally-agent runs beside one upstream VM and manages its engine or
// service. It is the only process that sends orders and requests to the upstream.
//
// The exit code is 0 after a graceful shutdown, 1 after a failure and 2 for an
// invalid command line.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/laureltally/laureltally/agent"
	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/daemon"
	"github.com/laureltally/laureltally/engine/enginehttp"
)

func main() { os.Exit(daemon.Main("laureltally-agent", run)) }

func run(ctx context.Context, a daemon.Arguments) error {
	s, err := config.ReadAgentSettingsFile(a.Settings)
	if err != nil {
		return err
	}
	components, err := daemon.NewComponents(daemon.ComponentsOptions{Program: "agent", VM: s.VM, Platform: s.Platform, TLS: s.TLS, Log: s.Log})
	if err != nil {
		return err
	}
	defer components.Metrics.Close()
	o := agent.Options{
		Settings:       s,
		Store:          components.Platform,
		Credentials:    components.Credentials,
		Logger:         components.Logger,
		Metrics:        components.Metrics.Scope,
		MetricsHandler: components.Metrics.Handler,
	}
	if s.Kind == config.KindEngine {
		o.Engine, err = enginehttp.New(enginehttp.Options{BaseURL: s.UpstreamURL})
		if err != nil {
			return fmt.Errorf("create engine client: %w", err)
		}
	}
	process, err := agent.New(o)
	if err != nil {
		return err
	}
	return process.Run(ctx)
}
