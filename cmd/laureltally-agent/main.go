// Command laureltally-agent runs beside one upstream VM and is the only process
// that gives the upstream orders and requests.
//
// The exit code is 0 after a graceful shutdown, 1 after a failure and 2 for a
// wrong command line.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/laureltally/laureltally/agent"
	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/daemon"
	"github.com/laureltally/laureltally/engine/enginehttp"
	"github.com/laureltally/laureltally/keys"
	"github.com/laureltally/laureltally/platform/objecthttp"
)

func main() { os.Exit(daemon.Main("laureltally-agent", run)) }

func run(ctx context.Context, a daemon.Arguments) error {
	s, err := config.ReadAgentSettingsFile(a.Settings)
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
	metrics := daemon.NewMetrics("agent")
	defer metrics.Close()
	o := agent.Options{
		Settings:       s,
		Store:          client,
		Credentials:    credentials,
		Logger:         logger,
		Metrics:        metrics.Scope,
		MetricsHandler: metrics.Handler,
	}
	if s.Kind == config.KindEngine {
		o.Engine, err = enginehttp.New(enginehttp.Options{BaseURL: s.UpstreamURL})
		if err != nil {
			return fmt.Errorf("engine: %w", err)
		}
	}
	process, err := agent.New(o)
	if err != nil {
		return err
	}
	return process.Run(ctx)
}
