package main

import (
	"context"
	"fmt"

	"github.com/laureltally/laureltally/agent"
	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/metastore"
)

// agentCalls counts the platform calls of n agents, each with an idle engine.
func agentCalls(n int) (callCounts, error) {
	return countCalls(n, &countingLister{}, func(ctx context.Context, i int, s metastore.Store, keys *issuer) error {
		credentials, err := keys.issue(agentName(i))
		if err != nil {
			return err
		}
		a, err := agent.New(agent.Options{
			Settings: config.AgentSettings{
				VM: agentName(i), Region: regionName, Zone: zoneName, Environment: environmentName,
				Upstream: upstreamName, Kind: config.KindEngine, MemoryMB: 320_000, PeerListen: "127.0.0.1:0",
			},
			Store: s, Credentials: credentials, Engine: idleEngine{}, Logger: quiet(),
		})
		if err != nil {
			return fmt.Errorf("create agent: %w", err)
		}
		return a.Run(ctx)
	})
}
