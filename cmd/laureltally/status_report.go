package main

import (
	"cmp"
	"maps"
	"slices"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/router"
)

// statusReport is what several routers know, for a script.
type statusReport struct {
	Routers []router.Status `json:"routers"`
	InForce []forceReport   `json:"in_force"`
}

// agents lists the agents that any router knows, each as a router that reaches
// it sees it.
func (r statusReport) agents() []router.AgentStatus {
	known := make(map[ident.VM]router.AgentStatus)
	for _, s := range r.Routers {
		for _, a := range s.Agents {
			if before, ok := known[a.VM]; !ok || (a.Reachable && !before.Reachable) {
				known[a.VM] = a
			}
		}
	}
	return slices.SortedFunc(maps.Values(known), func(a, b router.AgentStatus) int {
		return cmp.Or(cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.VM, b.VM))
	})
}

// configs lists the versions in force of each process that can be reached.
func (r statusReport) configs() []map[ident.Environment]metastore.Version {
	var configs []map[ident.Environment]metastore.Version
	for _, s := range r.Routers {
		configs = append(configs, s.Configs)
	}
	for _, a := range r.agents() {
		if a.Reachable {
			configs = append(configs, a.Configs)
		}
	}
	return configs
}

// environments lists the environments of which any process has a document.
func (r statusReport) environments() []ident.Environment {
	known := make(map[ident.Environment]bool)
	for _, c := range r.configs() {
		for e := range c {
			known[e] = true
		}
	}
	return slices.Sorted(maps.Keys(known))
}

// inForce compares the processes with the newest version that is stored or that
// any of them has.
func (r statusReport) inForce(stored map[ident.Environment]metastore.Version) []forceReport {
	reports := []forceReport{}
	for _, e := range r.environments() {
		f := forceReport{Environment: e, Version: stored[e]}
		for _, c := range r.configs() {
			f.Version = max(f.Version, c[e])
		}
		for _, c := range r.configs() {
			if _, ok := c[e]; ok {
				f.Of++
			}
			if c[e] == f.Version {
				f.Processes++
			}
		}
		reports = append(reports, f)
	}
	return reports
}
