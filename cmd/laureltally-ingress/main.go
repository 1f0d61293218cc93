// Command laureltally-ingress serves callers' requests on an entry VM of a hosted
// installation.
//
// The exit code is 0 after a graceful shutdown, 1 after a failure and 2 for an
// invalid command line.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/daemon"
	"github.com/laureltally/laureltally/ingress"
	"github.com/laureltally/laureltally/internal/suspend"
	"github.com/laureltally/laureltally/keys"
	"github.com/laureltally/laureltally/platform"
)

func main() { os.Exit(daemon.Main("laureltally-ingress", run)) }

func run(ctx context.Context, a daemon.Arguments) error {
	s, err := config.ReadIngressSettingsFile(a.Settings)
	if err != nil {
		return err
	}
	components, err := daemon.NewHostedComponents("ingress", s.VM, s.Log)
	if err != nil {
		return err
	}
	defer components.Close()
	daemon.LimitMemory(s.MemoryMB)
	store := platform.NewStore(s.MetadataStore)
	daemon.WatchSettings(ctx, a.Settings, func(text []byte, signalled bool) {
		next, err := config.ReadIngressSettings(text)
		if err != nil {
			components.Logger.WithError(err).Warn("changed settings not valid, keeping the previous ones")
			return
		}
		store.SetAddress(next.MetadataStore)
		components.LogReload(signalled, next.Log)
	})
	credentials, err := keys.NewEphemeral(s.VM, nil)
	if err != nil {
		return fmt.Errorf("create credentials: %w", err)
	}
	regions := make(platform.Regions)
	for _, z := range s.Zones {
		regions[z.Zone] = z.Region
	}
	clock, err := suspend.NewClock()
	if err != nil {
		return fmt.Errorf("clock of suspended time: %w", err)
	}
	server, err := ingress.New(ingress.Options{
		Suspended:      clock.Suspended,
		ServerStarted:  platform.ServerStarted(),
		Settings:       s,
		Directory:      &platform.Directory{Store: store, Regions: regions},
		Store:          store,
		Restores:       store.Restores,
		Protocol:       platform.Protocol{},
		Credentials:    credentials,
		Logger:         components.Logger,
		Metrics:        components.Metrics.Scope,
		MetricsHandler: components.Metrics.Handler,
		ReadinessPath:  platform.ReadinessPath,
	})
	if err != nil {
		return err
	}
	return server.Run(ctx)
}
