// Command laureltally-sidecar manages the model engine of one upstream VM of a
// hosted installation.
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
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/keys"
	"github.com/laureltally/laureltally/platform"
	"github.com/laureltally/laureltally/sidecar"
)

func main() { os.Exit(daemon.Main("laureltally-sidecar", run)) }

func run(ctx context.Context, a daemon.Arguments) error {
	s, err := config.ReadSidecarSettingsFile(a.Settings)
	if err != nil {
		return err
	}
	components, err := daemon.NewHostedComponents("sidecar", s.VM, s.Log)
	if err != nil {
		return err
	}
	defer components.Close()
	store := platform.NewStore(s.MetadataStore)
	daemon.WatchSettings(ctx, a.Settings, func(text []byte, signalled bool) {
		next, err := config.ReadSidecarSettings(text)
		if err != nil {
			components.Logger.WithError(err).Warn("changed settings not valid, keeping the previous ones")
			return
		}
		store.SetAddress(next.MetadataStore)
		components.LogReload(signalled, next.Log)
	})
	// Routers identify a sidecar by the address of its engine.
	credentials, err := keys.NewEphemeral(ident.VM(s.EngineAddress), nil)
	if err != nil {
		return fmt.Errorf("create credentials: %w", err)
	}
	return sidecar.New(sidecar.Options{
		Settings:       s,
		Engine:         platform.NewEngine(s.EngineAddress),
		Store:          store,
		Restores:       store.Restores,
		Directory:      &platform.Directory{Store: store, Regions: platform.Regions{s.Zone: s.Region}},
		Credentials:    credentials,
		Logger:         components.Logger,
		Metrics:        components.Metrics.Scope,
		MetricsHandler: components.Metrics.Handler,
	}).Run(ctx)
}
