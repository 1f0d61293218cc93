package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/daemon"
	"github.com/laureltally/laureltally/examples"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/metastore/memstore"
	"github.com/laureltally/laureltally/router"
	"github.com/laureltally/laureltally/standin"
	"github.com/laureltally/laureltally/wire"
)

// cli runs command lines against one platform.
type cli struct {
	t     *testing.T
	store *memstore.Store
	url   string
	dir   string
}

func newCLI(t *testing.T) *cli {
	t.Helper()
	store := memstore.New(memstore.Options{})
	server := httptest.NewServer(standin.NewObjectAPI(standin.ObjectAPIOptions{Store: store}))
	t.Cleanup(server.Close)
	t.Setenv("LAURELTALLY_PLATFORM", server.URL)
	t.Setenv("LAURELTALLY_ENVIRONMENT", "muotiennuste")
	t.Setenv("LAURELTALLY_ACTOR", "anna")
	return &cli{t: t, store: store, url: server.URL, dir: t.TempDir()}
}

// file writes a file and returns its path.
func (s *cli) file(name string, content []byte) string {
	s.t.Helper()
	path := filepath.Join(s.dir, name)
	if err := os.WriteFile(path, content, 0o600); err != nil {
		s.t.Fatal(err)
	}
	return path
}

// run runs a command line, checks its exit code and returns what it printed.
func (s *cli) run(code int, args ...string) string {
	s.t.Helper()
	var stdout, stderr bytes.Buffer
	if got := run(s.t.Context(), args, &stdout, &stderr); got != code {
		s.t.Fatalf("%v: exit code %d, want %d\n%s%s", args, got, code, &stdout, &stderr)
	}
	if (code != daemon.ExitOK) != (stderr.Len() > 0) {
		s.t.Fatalf("%v: printed %q to standard error", args, &stderr)
	}
	return stdout.String()
}

// runJSON runs a command line and decodes the JSON that it prints.
func runJSON[T any](s *cli, code int, args ...string) T {
	s.t.Helper()
	var v T
	printed := s.run(code, args...)
	if err := json.Unmarshal([]byte(printed), &v); err != nil {
		s.t.Fatalf("%v: %v in %s", args, err, printed)
	}
	return v
}

func TestUsage(t *testing.T) {
	s := newCLI(t)
	for _, name := range []string{"", "check", "diff", "apply", "promote", "status", "drain", "undrain", "audit", "keys"} {
		if got := s.run(daemon.ExitOK, strings.Fields(name+" --help")...); !strings.Contains(got, "Usage: laureltally "+name) {
			t.Errorf("%s: printed %q", name, got)
		}
	}
	if got := s.run(daemon.ExitOK, "--version"); !strings.Contains(got, daemon.Version) {
		t.Errorf("printed %q", got)
	}
	for _, line := range []string{"", "keys", "bogus", "check", "check --kind x f", "diff - -", "audit --from yesterday", "keys ca"} {
		s.run(daemon.ExitUsage, strings.Fields(line)...)
	}
}

func TestCheck(t *testing.T) {
	s := newCLI(t)
	valid := s.file("good.jsonc", examples.Muotiennuste)
	invalid := s.file("bad.jsonc", bytes.Replace(examples.Muotiennuste, []byte(`"replicas": 12`), []byte(`"replicas": 0`), 1))
	s.run(daemon.ExitOK, "check", valid)
	s.run(daemon.ExitOK, "check", "--kind", "router", s.file("router.jsonc", examples.Router))
	results := runJSON[[]checkResult](s, daemon.ExitFailed, "check", "--json", valid, invalid, filepath.Join(s.dir, "missing"))
	if !results[0].Valid || len(results[1].Problems) != 1 || results[1].Problems[0].Path != "upstreams[0].replicas" || results[2].Error == "" {
		t.Fatalf("got %+v", results)
	}
	if got := s.run(daemon.ExitFailed, "check", invalid); !strings.Contains(got, "bad.jsonc:23:") || !strings.Contains(got, "0 is less than 1") {
		t.Fatalf("printed %s", got)
	}
}

func TestApplyDiffAndPromote(t *testing.T) {
	s := newCLI(t)
	first := s.file("1.jsonc", examples.Muotiennuste)
	second := s.file("2.jsonc", bytes.Replace(examples.Muotiennuste, []byte(`"burst": 400`), []byte(`"burst": 500`), 1))

	trial := runJSON[writeResult](s, daemon.ExitOK, "apply", "--trial", "--json", first)
	s.run(daemon.ExitFailed, "promote", "--digest", "other")
	promoted := runJSON[writeResult](s, daemon.ExitOK, "promote", "--json", "--digest", trial.Accepted.Digest)
	if promoted.Accepted.Version <= trial.Accepted.Version {
		t.Fatalf("got %+v after %+v", promoted, trial)
	}
	want := config.Change{Path: "limits.burst", Kind: config.ChangeChanged, Old: "400", New: "500"}
	for _, args := range [][]string{{first, second}, {"-", second}} {
		r := runJSON[diffResult](s, daemon.ExitOK, append([]string{"diff", "--json"}, args...)...)
		if len(r.Changes) != 1 || r.Changes[0] != want {
			t.Fatalf("%v: got %+v", args, r)
		}
		if stored := args[0] == storedDocument; stored != (r.Stored != nil) || (stored && r.Stored.Version != promoted.Accepted.Version) {
			t.Fatalf("%v: got %+v", args, r.Stored)
		}
	}
	s.run(daemon.ExitOK, "apply", second)
	conflict := runJSON[writeResult](s, daemon.ExitFailed, "apply", "--json", "--base", "2", "--actor", "boris", first)
	if conflict.Conflict == nil || conflict.Conflict.Actor != "anna" || conflict.Conflict.Changes[0].New != "400" {
		t.Fatalf("got %+v", conflict)
	}
	got := s.run(daemon.ExitOK, "audit")
	for _, want := range []string{"config/muotiennuste/trial", "promote", "config/muotiennuste/production"} {
		if !strings.Contains(got, want) {
			t.Errorf("audit lacks %q:\n%s", want, got)
		}
	}
	if got := s.run(daemon.ExitOK, "audit", "--json", "--actor", "boris"); got != "[]\n" {
		t.Fatalf("a rejected write left an audit record: %s", got)
	}
}

func TestDrain(t *testing.T) {
	s := newCLI(t)
	s.run(daemon.ExitOK, "drain", "vm-1", "--reason", "new kernel")
	s.run(daemon.ExitFailed, "drain", "vm-1")
	s.run(daemon.ExitOK, "undrain", "vm-1")
	s.run(daemon.ExitFailed, "undrain", "vm-1")
	if got := s.run(daemon.ExitOK, "audit"); !strings.Contains(got, "new kernel") || !strings.Contains(got, "undrain") {
		t.Fatalf("printed %s", got)
	}
}

func TestKeys(t *testing.T) {
	s := newCLI(t)
	s.run(daemon.ExitOK, "keys", "ca", "--dir", s.dir)
	s.run(daemon.ExitFailed, "keys", "ca", "--dir", s.dir)
	s.run(daemon.ExitOK, "keys", "issue", "--dir", s.dir, "--vm", "vm-1", "--ip", "127.0.0.1", "--ip", "::1")
	for _, file := range []string{"ca.crt", "ca.key", "vm-1.crt", "vm-1.key"} {
		if _, err := os.Stat(filepath.Join(s.dir, file)); err != nil {
			t.Error(err)
		}
	}
	if got := s.run(daemon.ExitOK, "audit"); !strings.Contains(got, "keys.ca") || !strings.Contains(got, "vm-1") {
		t.Fatalf("printed %s", got)
	}
}

// serveStatus serves a router's status and returns the base URL.
func serveStatus(t *testing.T, status router.Status) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != statusPath {
			http.NotFound(w, r)
			return
		}
		_ = json.NewEncoder(w).Encode(status)
	}))
	t.Cleanup(server.Close)
	return server.URL
}

func TestStatus(t *testing.T) {
	s := newCLI(t)
	at := func(v metastore.Version) map[ident.Environment]metastore.Version {
		return map[ident.Environment]metastore.Version{"muotiennuste": v}
	}
	first := serveStatus(t, router.Status{
		VM:      "entry-1",
		Configs: at(2),
		Agents: []router.AgentStatus{
			{VM: "b", Upstream: "u", Reachable: true, Configs: at(1), Models: []wire.ModelReport{{Model: "m2", Fence: 3}}},
			{VM: "a", Upstream: "u", Reachable: true, Leaving: true, Configs: at(2), Models: []wire.ModelReport{{Model: "m1"}}},
			{VM: "c", Upstream: "u", Configs: at(1)},
		},
	})
	second := serveStatus(t, router.Status{VM: "entry-2", Configs: at(2), Agents: []router.AgentStatus{{VM: "b", Upstream: "u"}}})

	var lines []string
	for line := range strings.Lines(s.run(daemon.ExitOK, "status", "--router", first+"/", "--router", second)) {
		lines = append(lines, strings.Join(strings.Fields(line), " "))
	}
	want := []string{
		"VM ROLE UPSTREAM REGION STATE VERSIONS RUNNING WAITING FREE MIB",
		"entry-1 router serving muotiennuste@2",
		"entry-2 router serving muotiennuste@2",
		"a agent u leaving muotiennuste@2 0 0 0",
		"b agent u serving muotiennuste@1 0 0 0",
		"c agent u unreachable muotiennuste@1 0 0 0",
		"",
		"MODEL VM PHASE TIER FENCE RUNNING WAITING ADAPTERS",
		"m1 a 0 0 0 0",
		"m2 b 3 0 0 0",
		"",
		"muotiennuste: version 2 in force in 3 of 4 processes",
	}
	if !slices.Equal(lines, want) {
		t.Fatalf("printed\n%s", strings.Join(lines, "\n"))
	}
	report := runJSON[statusReport](s, daemon.ExitOK, "status", "--json", "--router", first, "--router", second)
	if rollout := (rolloutReport{Environment: "muotiennuste", Version: 2, Processes: 3, Total: 4}); len(report.Routers) != 2 || report.Rollouts[0] != rollout {
		t.Fatalf("got %+v", report)
	}
	file := s.file("1.jsonc", examples.Muotiennuste)
	for range 3 { // Each apply is two writes: the document and its audit record.
		s.run(daemon.ExitOK, "apply", file)
	}
	report = runJSON[statusReport](s, daemon.ExitOK, "status", "--json", "--router", first)
	if rollout := report.Rollouts[0]; rollout.Processes != 0 || rollout.Total != 3 || rollout.Version < 5 {
		t.Fatalf("got %+v", rollout)
	}
	s.run(daemon.ExitFailed, "status", "--router", first+"/elsewhere")
}
