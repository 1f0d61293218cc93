package main

import (
	"cmp"
	"maps"
	"slices"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/router"
)

// statusReport is the JSON output of the status command.
type statusReport struct {
	Routers  []router.Status `json:"routers"`
	Rollouts []rolloutReport `json:"in_force"`
}

// agents returns the agents known to any router, sorted by upstream and VM. Each
// status comes from a router that reaches the agent, if there is one.
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

// configs returns the document versions of each reachable process.
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

// environments returns the environments that any process has a document of.
func (r statusReport) environments() []ident.Environment {
	known := make(map[ident.Environment]bool)
	for _, c := range r.configs() {
		for e := range c {
			known[e] = true
		}
	}
	return slices.Sorted(maps.Keys(known))
}

// rollouts compares the processes' versions with the newest version that is stored
// or used by any of them.
func (r statusReport) rollouts(stored map[ident.Environment]metastore.Version) []rolloutReport {
	reports := []rolloutReport{}
	for _, e := range r.environments() {
		report := rolloutReport{Environment: e, Version: stored[e]}
		for _, c := range r.configs() {
			report.Version = max(report.Version, c[e])
		}
		for _, c := range r.configs() {
			if _, ok := c[e]; ok {
				report.Total++
			}
			if c[e] == report.Version {
				report.Processes++
			}
		}
		reports = append(reports, report)
	}
	return reports
}
