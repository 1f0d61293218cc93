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

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/platform"
	"github.com/laureltally/laureltally/router"
)

const (
	statusPath    = "/admin/status"
	statusTimeout = 10 * time.Second
	// maxStatusBytes bounds the answer of a router.
	maxStatusBytes = 32 << 20
)

// statusCommand shows what a router knows.
type statusCommand struct {
	jsonFlag
	Router string `arg:"--router,required,env:LAURELTALLY_ROUTER" placeholder:"URL" help:"base URL of the router's admin address"`
}

func (c *statusCommand) run(ctx context.Context, stdout, _ io.Writer) error {
	out := &output{w: stdout}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	raw, err := fetchStatus(ctx, strings.TrimSuffix(c.Router, "/")+statusPath)
	if err != nil {
		return err
	}
	if c.JSON {
		return out.json(json.RawMessage(raw))
	}
	var s router.Status
	if err := json.Unmarshal(raw, &s); err != nil {
		return fmt.Errorf("status: %w", err)
	}
	return printStatus(out, s)
}

func fetchStatus(ctx context.Context, target string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, fmt.Errorf("status: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("status: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, &statusError{url: target, status: resp.StatusCode}
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxStatusBytes))
	if err != nil {
		return nil, fmt.Errorf("status: %w", err)
	}
	return raw, nil
}

// printStatus prints the processes with the versions in force, and the models.
func printStatus(out *output, s router.Status) error {
	slices.SortFunc(s.Agents, func(a, b router.AgentStatus) int {
		return cmp.Or(cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.VM, b.VM))
	})
	processes := [][]string{{"VM", "ROLE", "UPSTREAM", "REGION", "STATE", "VERSIONS", "RUNNING", "WAITING", "FREE MIB"}}
	processes = append(processes, []string{string(s.VM), string(platform.RoleRouter), "", "", "", versions(s.Configs), "", "", ""})
	for _, a := range s.Agents {
		processes = append(processes, []string{
			string(a.VM), string(platform.RoleAgent), string(a.Upstream), string(a.Region), agentState(a),
			versions(a.Configs), fmt.Sprint(a.Running), fmt.Sprint(a.Waiting), fmt.Sprint(a.FreeMB),
		})
	}
	if err := out.table(processes); err != nil {
		return err
	}
	out.printf("\n")
	return out.table(modelRows(s.Agents))
}

// agentState tells whether an agent takes work.
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

// versions lists the version in force of each environment.
func versions(configs map[ident.Environment]platform.Version) string {
	var parts []string
	for _, e := range slices.Sorted(maps.Keys(configs)) {
		parts = append(parts, fmt.Sprintf("%s@%d", e, configs[e]))
	}
	return strings.Join(parts, " ")
}

// modelRows lists the models that a VM holds a right to or has loaded.
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
