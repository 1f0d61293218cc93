package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/laureltally/laureltally/document"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/router"
)

const (
	statusPath    = "/admin/status"
	statusTimeout = 10 * time.Second
	// maxStatusBytes is the maximum size of a router's response.
	maxStatusBytes = 32 << 20
)

// statusCommand shows the status reported by routers.
type statusCommand struct {
	jsonFlag
	Routers  []string `arg:"--router,separate,required,env:LAURELTALLY_ROUTER" placeholder:"URL" help:"base URL of a router's admin address, repeatable"`
	Platform string   `arg:"--platform,env:LAURELTALLY_PLATFORM" placeholder:"URL" help:"base URL of the object API, to compare with the stored document versions"`
}

func (c *statusCommand) run(ctx context.Context, stdout, _ io.Writer) error {
	out := &output{w: stdout}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var r statusReport
	for _, base := range c.Routers {
		s, err := fetchStatus(ctx, strings.TrimSuffix(base, "/")+statusPath)
		if err != nil {
			return err
		}
		r.Routers = append(r.Routers, s)
	}
	stored, err := c.storedVersions(ctx, r.environments())
	if err != nil {
		return err
	}
	r.Rollouts = r.rollouts(stored)
	if c.JSON {
		return out.json(r)
	}
	return printStatus(out, r)
}

// storedVersions returns the stored version of each environment's production
// document. Without a platform it returns an empty map.
func (c *statusCommand) storedVersions(ctx context.Context, names []ident.Environment) (map[ident.Environment]metastore.Version, error) {
	stored := make(map[ident.Environment]metastore.Version)
	if c.Platform == "" {
		return stored, nil
	}
	client, err := platformFlags{Platform: c.Platform}.client()
	if err != nil {
		return nil, err
	}
	defer client.Close()
	repository := document.New(document.Options{Store: client})
	for _, e := range names {
		d, err := repository.Read(ctx, e, document.StageProduction)
		if err != nil {
			return nil, err
		}
		stored[e] = d.Version
	}
	return stored, nil
}

func fetchStatus(ctx context.Context, target string) (router.Status, error) {
	var s router.Status
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return s, fmt.Errorf("request status: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return s, fmt.Errorf("request status: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return s, &statusError{url: target, status: resp.StatusCode}
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxStatusBytes)).Decode(&s); err != nil {
		return s, fmt.Errorf("decode status: %w", err)
	}
	return s, nil
}

// printStatus prints the processes with their document versions, the models, and
// how many processes use the newest version of each document.
func printStatus(out *output, r statusReport) error {
	agents := r.agents()
	processes := [][]string{{"VM", "ROLE", "UPSTREAM", "REGION", "STATE", "VERSIONS", "RUNNING", "WAITING", "FREE MIB"}}
	for _, s := range r.Routers {
		processes = append(processes, []string{string(s.VM), string(metastore.RoleRouter), "", "", "serving", versions(s.Configs), "", "", ""})
	}
	for _, a := range agents {
		processes = append(processes, []string{
			string(a.VM), string(metastore.RoleAgent), string(a.Upstream), string(a.Region), agentState(a),
			versions(a.Configs), fmt.Sprint(a.Running), fmt.Sprint(a.Waiting), fmt.Sprint(a.FreeMB),
		})
	}
	if err := out.table(processes); err != nil {
		return err
	}
	out.printf("\n")
	if err := out.table(modelRows(agents)); err != nil {
		return err
	}
	out.printf("\n")
	for _, report := range r.Rollouts {
		out.printf("%s: version %d in force in %d of %d processes\n", report.Environment, report.Version, report.Processes, report.Total)
	}
	return nil
}

// agentState returns the state of an agent: serving, leaving or unreachable.
func agentState(a router.AgentStatus) string {
	switch {
	case !a.Reachable:
		return "unreachable"
	case a.Leaving:
		return "leaving"
	default:
		return "serving"
	}
}

// versions formats the document version of each environment.
func versions(configs map[ident.Environment]metastore.Version) string {
	var parts []string
	for _, e := range slices.Sorted(maps.Keys(configs)) {
		parts = append(parts, fmt.Sprintf("%s@%d", e, configs[e]))
	}
	return strings.Join(parts, " ")
}

// modelRows returns the table rows of the models that each VM has a slot for or has
// loaded.
func modelRows(agents []router.AgentStatus) [][]string {
	rows := [][]string{{"MODEL", "VM", "PHASE", "TIER", "FENCE", "RUNNING", "WAITING", "ADAPTERS"}}
	for _, a := range agents {
		for _, m := range a.Models {
			rows = append(rows, []string{
				string(m.Model), string(a.VM), string(m.Phase), string(m.Tier), fmt.Sprint(m.Fence),
				fmt.Sprint(m.Running), fmt.Sprint(m.Waiting), fmt.Sprint(len(m.Adapters)),
			})
		}
	}
	slices.SortStableFunc(rows[1:], func(a, b []string) int { return cmp.Compare(a[0], b[0]) })
	return rows
}
