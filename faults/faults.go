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

// fault is one failure, or several at once.
type fault struct {
	name         string
	ignoreFences bool
	// bring causes the failure and returns when it is over.
	bring func(ctx context.Context, c *harness.Cluster) error
}

// faults lists the failures, alone and in pairs.
func faults() []fault {
	return []fault{
		{name: "none", bring: wait},
		{name: "agent killed in mid-load", bring: killAgent},
		{name: "agent killed, engine ignores fences", ignoreFences: true, bring: killAgent},
		{name: "service agent killed", bring: killServiceAgent},
		{name: "router killed", bring: killRouter},
		{name: "VM reclaimed", bring: reclaim},
		{name: "platform down", bring: outage},
		{name: "platform slow", bring: slowPlatform},
		{name: "answers lost", bring: loseAnswers},
		{name: "writes land late", bring: lateWrites},
		{name: "stale reads", bring: staleReads},
		{name: "agent paused", bring: pauseAgent},
		{name: "router paused", bring: pauseRouter},
		{name: "connections silent", bring: silence},
		{name: "loads ten times slower", bring: slowLoads},
		{name: "loads fail", bring: failLoads},
		{name: "service loses connections", bring: cutCalls},
		{name: "limit lowered", bring: lowerLimit},
		{name: "operators race", bring: raceOperators},
		{name: "platform down + agent killed", bring: both(outage, killAgent)},
		{name: "platform down + connections silent", bring: both(outage, silence)},
		{name: "answers lost + router killed", bring: both(loseAnswers, killRouter)},
		{name: "agent paused + limit lowered", bring: both(pauseAgent, lowerLimit)},
		{name: "agent killed + loads slow, no fences", ignoreFences: true, bring: both(slowLoads, killAgent)},
		{name: "service cut + connections silent", bring: both(cutCalls, silence)},
	}
}

func wait(context.Context, *harness.Cluster) error {
	time.Sleep(during)
	return nil
}

// both brings two faults at the same time.
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

// killAgent kills each engine's agent while it loads: first its engine forgets
// what it has.
func killAgent(ctx context.Context, c *harness.Cluster) error {
	for i, url := range c.EngineURLs {
		if err := c.Post(ctx, url+"/control/restart", struct{}{}); err != nil {
			return err
		}
		time.Sleep(during / 10)
		c.Agents[i].Kill()
		time.Sleep(during / 10)
		if err := c.Restart(c.Agents[i]); err != nil {
			return err
		}
		time.Sleep(during / 5)
	}
	return nil
}

func killServiceAgent(_ context.Context, c *harness.Cluster) error {
	agent := c.Agents[len(c.Agents)-1]
	agent.Kill()
	time.Sleep(during / 3)
	return c.Restart(agent)
}

func killRouter(_ context.Context, c *harness.Cluster) error {
	c.Routers[0].Kill()
	time.Sleep(during / 3)
	return c.Restart(c.Routers[0])
}

// reclaim takes a VM away with its engine and its agent.
func reclaim(ctx context.Context, c *harness.Cluster) error {
	c.Agents[0].Kill()
	c.Engines[0].Kill()
	time.Sleep(during / 6)
	err := c.Post(ctx, c.PlatformURL+"/control/vms", standin.VMChange{Remove: "agent-0"})
	time.Sleep(during)
	return err
}

func platformFault(ctx context.Context, c *harness.Cluster, f standin.StoreFaults, d time.Duration) error {
	if err := c.Post(ctx, c.PlatformURL+"/control/faults", f); err != nil {
		return err
	}
	time.Sleep(d)
	return c.Post(ctx, c.PlatformURL+"/control/faults", standin.StoreFaults{})
}

func outage(ctx context.Context, c *harness.Cluster) error {
	return platformFault(ctx, c, standin.StoreFaults{Outage: true}, during)
}

func slowPlatform(ctx context.Context, c *harness.Cluster) error {
	return platformFault(ctx, c, standin.StoreFaults{Delay: config.Duration(700 * time.Millisecond)}, during)
}

func loseAnswers(ctx context.Context, c *harness.Cluster) error {
	return platformFault(ctx, c, standin.StoreFaults{DropResponses: 40}, during)
}

func lateWrites(ctx context.Context, c *harness.Cluster) error {
	return platformFault(ctx, c, standin.StoreFaults{LateWrites: 40, LateBy: config.Duration(400 * time.Millisecond)}, during)
}

func staleReads(ctx context.Context, c *harness.Cluster) error {
	return platformFault(ctx, c, standin.StoreFaults{StaleMin: 1, StaleMax: 5}, during)
}

func pauseProcess(p *harness.Process) error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(during)
	return p.Signal(syscall.SIGCONT)
}

func pauseAgent(_ context.Context, c *harness.Cluster) error { return pauseProcess(c.Agents[0]) }

func pauseRouter(_ context.Context, c *harness.Cluster) error { return pauseProcess(c.Routers[0]) }

// silence makes every connection of the moment silent, twice.
func silence(_ context.Context, c *harness.Cluster) error {
	for range 2 {
		for _, b := range c.Middleboxes {
			b.DropFlows()
		}
		time.Sleep(during)
	}
	return nil
}

func engineFault(ctx context.Context, c *harness.Cluster, f standin.EngineFaults) error {
	for _, url := range c.EngineURLs {
		if err := c.Post(ctx, url+"/control/faults", f); err != nil {
			return err
		}
		if err := c.Post(ctx, url+"/control/restart", struct{}{}); err != nil {
			return err
		}
	}
	time.Sleep(during)
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

// cutCalls lets calls run and then lose their connection.
func cutCalls(ctx context.Context, c *harness.Cluster) error {
	for range 5 {
		if err := c.Post(ctx, c.ServiceURL+"/control/faults", standin.ServiceFaults{DropConnections: 2}); err != nil {
			return err
		}
		time.Sleep(during / 5)
	}
	return nil
}

// lowerLimit takes the second replica of the first model away and gives it back.
func lowerLimit(ctx context.Context, c *harness.Cluster) error {
	err := c.Apply(ctx, "operator", func(d *config.Document) { d.Models[0].MaxReplicas = 1 })
	if err != nil {
		return err
	}
	time.Sleep(during)
	return c.Apply(ctx, "operator", func(d *config.Document) { d.Models[0].MaxReplicas = engines })
}

// raceOperators lets three operators change the document against each other.
func raceOperators(ctx context.Context, c *harness.Cluster) error {
	const operators, changes = 3, 8
	done := make(chan error, operators)
	for i := range operators {
		go func() { done <- raceOne(ctx, c, ident.Model(harness.Models[i]), changes) }()
	}
	var failed error
	for range operators {
		if err := <-done; err != nil {
			failed = err
		}
	}
	return failed
}

func raceOne(ctx context.Context, c *harness.Cluster, m ident.Model, changes int) error {
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
		time.Sleep(during / (2 * time.Duration(changes)))
	}
	return nil
}
