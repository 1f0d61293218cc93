package main

import (
	"context"
	"syscall"
	"time"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/internal/harness"
	"github.com/laureltally/laureltally/standin"
)

// fault is one injected failure, or several at the same time.
type fault struct {
	name         string
	ignoreFences bool
	// inject causes the failure and returns when it is over.
	inject func(ctx context.Context, c *harness.Cluster) error
}

// faults returns the faults, alone and in pairs.
func faults() []fault {
	return []fault{
		{name: "none", inject: noFault},
		{name: "agent killed in mid-load", inject: killAgent},
		{name: "agent killed, engine ignores fences", ignoreFences: true, inject: killAgent},
		{name: "service agent killed", inject: killServiceAgent},
		{name: "router killed", inject: killRouter},
		{name: "VM reclaimed", inject: reclaimVM},
		{name: "platform down", inject: outage},
		{name: "platform slow", inject: slowPlatform},
		{name: "answers lost", inject: dropResponses},
		{name: "writes land late", inject: lateWrites},
		{name: "stale reads", inject: staleReads},
		{name: "agent paused", inject: pauseAgent},
		{name: "router paused", inject: pauseRouter},
		{name: "connections silent", inject: dropFlows},
		{name: "loads ten times slower", inject: slowLoads},
		{name: "loads fail", inject: failLoads},
		{name: "service loses connections", inject: dropConnections},
		{name: "limit lowered", inject: lowerLimit},
		{name: "operators race", inject: raceOperators},
		{name: "platform down + agent killed", inject: both(outage, killAgent)},
		{name: "platform down + connections silent", inject: both(outage, dropFlows)},
		{name: "answers lost + router killed", inject: both(dropResponses, killRouter)},
		{name: "agent paused + limit lowered", inject: both(pauseAgent, lowerLimit)},
		{name: "agent killed + loads slow, no fences", ignoreFences: true, inject: both(slowLoads, killAgent)},
		{name: "service cut + connections silent", inject: both(dropConnections, dropFlows)},
	}
}

func noFault(context.Context, *harness.Cluster) error {
	time.Sleep(faultDuration)
	return nil
}

// both returns a function that injects two faults at the same time.
func both(a, b func(context.Context, *harness.Cluster) error) func(context.Context, *harness.Cluster) error {
	return func(ctx context.Context, c *harness.Cluster) error {
		first := make(chan error, 1)
		go func() { first <- a(ctx, c) }()
		err := b(ctx, c)
		if other := <-first; other != nil {
			return other
		}
		return err
	}
}

// killAgent kills each engine's agent while it loads models. The engine is restarted
// before, so that it has models to load.
func killAgent(ctx context.Context, c *harness.Cluster) error {
	for i, url := range c.EngineURLs {
		if err := c.Post(ctx, url+"/control/restart", struct{}{}); err != nil {
			return err
		}
		time.Sleep(faultDuration / 10)
		c.Agents[i].Kill()
		time.Sleep(faultDuration / 10)
		if err := c.Restart(c.Agents[i]); err != nil {
			return err
		}
		time.Sleep(faultDuration / 5)
	}
	return nil
}

func killServiceAgent(_ context.Context, c *harness.Cluster) error {
	agent := c.Agents[len(c.Agents)-1]
	agent.Kill()
	time.Sleep(faultDuration / 3)
	return c.Restart(agent)
}

func killRouter(_ context.Context, c *harness.Cluster) error {
	c.Routers[0].Kill()
	time.Sleep(faultDuration / 3)
	return c.Restart(c.Routers[0])
}

// reclaimVM kills an agent with its engine and removes its VM from the list.
func reclaimVM(ctx context.Context, c *harness.Cluster) error {
	c.Agents[0].Kill()
	c.Engines[0].Kill()
	time.Sleep(faultDuration / 6)
	err := c.Post(ctx, c.PlatformURL+"/control/vms", standin.VMChange{Remove: "agent-0"})
	time.Sleep(faultDuration)
	return err
}

// platformFault injects f into the platform for the time d.
func platformFault(ctx context.Context, c *harness.Cluster, f standin.StoreFaults, d time.Duration) error {
	if err := c.Post(ctx, c.PlatformURL+"/control/faults", f); err != nil {
		return err
	}
	time.Sleep(d)
	return c.Post(ctx, c.PlatformURL+"/control/faults", standin.StoreFaults{})
}

func outage(ctx context.Context, c *harness.Cluster) error {
	return platformFault(ctx, c, standin.StoreFaults{Outage: true}, faultDuration)
}

func slowPlatform(ctx context.Context, c *harness.Cluster) error {
	return platformFault(ctx, c, standin.StoreFaults{Delay: config.Duration(700 * time.Millisecond)}, faultDuration)
}

func dropResponses(ctx context.Context, c *harness.Cluster) error {
	return platformFault(ctx, c, standin.StoreFaults{DropResponses: 40}, faultDuration)
}

func lateWrites(ctx context.Context, c *harness.Cluster) error {
	return platformFault(ctx, c, standin.StoreFaults{LateWrites: 40, LateBy: config.Duration(400 * time.Millisecond)}, faultDuration)
}

func staleReads(ctx context.Context, c *harness.Cluster) error {
	return platformFault(ctx, c, standin.StoreFaults{StaleMin: 1, StaleMax: 5}, faultDuration)
}

func pauseProcess(p *harness.Process) error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(faultDuration)
	return p.Signal(syscall.SIGCONT)
}

func pauseAgent(_ context.Context, c *harness.Cluster) error { return pauseProcess(c.Agents[0]) }

func pauseRouter(_ context.Context, c *harness.Cluster) error { return pauseProcess(c.Routers[0]) }

// dropFlows drops all datagrams of the current connections to agents, twice.
func dropFlows(_ context.Context, c *harness.Cluster) error {
	for range 2 {
		for _, b := range c.Middleboxes {
			b.DropFlows()
		}
		time.Sleep(faultDuration)
	}
	return nil
}

// engineFault injects f into all engines for faultDuration. It also restarts them, so
// that they have models to load.
func engineFault(ctx context.Context, c *harness.Cluster, f standin.EngineFaults) error {
	for _, url := range c.EngineURLs {
		if err := c.Post(ctx, url+"/control/faults", f); err != nil {
			return err
		}
		if err := c.Post(ctx, url+"/control/restart", struct{}{}); err != nil {
			return err
		}
	}
	time.Sleep(faultDuration)
	for _, url := range c.EngineURLs {
		if err := c.Post(ctx, url+"/control/faults", standin.EngineFaults{}); err != nil {
			return err
		}
	}
	return nil
}

func slowLoads(ctx context.Context, c *harness.Cluster) error {
	return engineFault(ctx, c, standin.EngineFaults{LoadSlowdown: 10})
}

func failLoads(ctx context.Context, c *harness.Cluster) error {
	return engineFault(ctx, c, standin.EngineFaults{FailLoads: 2})
}

// dropConnections closes the connections of some service calls after they have run.
func dropConnections(ctx context.Context, c *harness.Cluster) error {
	for range 5 {
		if err := c.Post(ctx, c.ServiceURL+"/control/faults", standin.ServiceFaults{DropConnections: 2}); err != nil {
			return err
		}
		time.Sleep(faultDuration / 5)
	}
	return nil
}

// lowerLimit lowers the replica limit of the first model to one, and restores it.
func lowerLimit(ctx context.Context, c *harness.Cluster) error {
	err := c.Apply(ctx, "operator", func(d *config.Document) { d.Models[0].MaxReplicas = 1 })
	if err != nil {
		return err
	}
	time.Sleep(faultDuration)
	return c.Apply(ctx, "operator", func(d *config.Document) { d.Models[0].MaxReplicas = engines })
}

// raceOperators lets three operators change the document concurrently.
func raceOperators(ctx context.Context, c *harness.Cluster) error {
	const operators, changes = 3, 8
	done := make(chan error, operators)
	for i := range operators {
		go func() { done <- applyChanges(ctx, c, ident.Model(harness.Models[i]), changes) }()
	}
	var failed error
	for range operators {
		if err := <-done; err != nil {
			failed = err
		}
	}
	return failed
}

func applyChanges(ctx context.Context, c *harness.Cluster, m ident.Model, changes int) error {
	for n := range changes {
		err := c.Apply(ctx, string(m), func(d *config.Document) {
			for i := range d.Models {
				if d.Models[i].Name == m {
					d.Models[i].Concurrency = 8 + n
				}
			}
		})
		if err != nil {
			return err
		}
		time.Sleep(faultDuration / (2 * time.Duration(changes)))
	}
	return nil
}
