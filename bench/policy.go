package main

import (
	"fmt"
	"time"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/internal/replay"
	"github.com/laureltally/laureltally/keepalive"
)

// policy is a named keep-alive policy for idle models and adapters.
type policy struct {
	name string
	make replay.Policies
}

// share returns the share of an accelerator that a model takes.
type share = func(ident.Model) float64

func lruAdapters() keepalive.Policy[keepalive.AdapterKey] {
	return replay.NewLRU[keepalive.AdapterKey]()
}

// idlePolicies returns the baselines: fixed timeouts, shortest first, and LRU.
func idlePolicies() []policy {
	var out []policy
	for _, minutes := range []int{1, 5, 10, 30} {
		timeout := time.Duration(minutes) * time.Minute
		out = append(out, policy{
			name: fmt.Sprintf("fixed %d min", minutes),
			make: replay.Policies{
				Models:   func(share) keepalive.Policy[ident.Model] { return replay.NewFixedTimeout[ident.Model](timeout) },
				Adapters: lruAdapters,
			},
		})
	}
	return append(out, policy{
		name: "LRU",
		make: replay.Policies{
			Models:   func(share) keepalive.Policy[ident.Model] { return replay.NewLRU[ident.Model]() },
			Adapters: lruAdapters,
		},
	})
}

// historyPolicy returns the project's policy with an objective and an exchange
// rate: the idle accelerator time that a unit of cold-start time is worth.
func historyPolicy(name string, exchange float64, aim config.Aim) policy {
	return policy{name: name, make: replay.Policies{
		Models: func(s share) keepalive.Policy[ident.Model] {
			return must(keepalive.New(keepalive.Config[ident.Model]{Aim: aim, Exchange: exchange, Share: s, DailyProfile: true}))
		},
		Adapters: func() keepalive.Policy[keepalive.AdapterKey] {
			return must(keepalive.New(keepalive.Config[keepalive.AdapterKey]{Aim: aim}))
		},
	}}
}

// tradeOffPolicies returns the project's policy at several exchange rates, which
// trade cold-start time against idle hours.
func tradeOffPolicies() []policy {
	var out []policy
	for _, exchange := range []float64{5, 10, 15, 20, 25, 30, 40, 50, 60, 80, 120, 200, 320, 640, 1280} {
		out = append(out, historyPolicy(fmt.Sprintf("exchange %g", exchange), exchange, config.Aim{}))
	}
	return out
}
