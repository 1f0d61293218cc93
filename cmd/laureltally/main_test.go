package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/daemon"
	"github.com/laureltally/laureltally/examples"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/platform"
	"github.com/laureltally/laureltally/platform/memstore"
	"github.com/laureltally/laureltally/router"
	"github.com/laureltally/laureltally/standin"
	"github.com/laureltally/laureltally/wire"
)

// shell runs command lines against one platform.
type shell struct {
	t     *testing.T
	store *memstore.Store
	url   string
	dir   string
}

func newShell(t *testing.T) *shell {
	t.Helper()
	store := memstore.New(memstore.Options{})
	server := httptest.NewServer(standin.NewObjectAPI(standin.ObjectAPIOptions{Store: store}))
	t.Cleanup(server.Close)
	t.Setenv("LAURELTALLY_PLATFORM", server.URL)
	t.Setenv("LAURELTALLY_ENVIRONMENT", "muotiennuste")
	t.Setenv("LAURELTALLY_ACTOR", "anna")
	return &shell{t: t, store: store, url: server.URL, dir: t.TempDir()}
}

// file writes a file and returns its path.
func (s *shell) file(name string, content []byte) string {
	s.t.Helper()
	path := filepath.Join(s.dir, name)
	if err := os.WriteFile(path, content, 0o600); err != nil {
		s.t.Fatal(err)
	}
	return path
}

// run runs a command line, checks its exit code and returns what it printed.
func (s *shell) run(code int, args ...string) string {
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

// decode runs a command line that prints JSON.
func decode[T any](s *shell, code int, args ...string) T {
	s.t.Helper()
	var v T
	printed := s.run(code, args...)
	if err := json.Unmarshal([]byte(printed), &v); err != nil {
		s.t.Fatalf("%v: %v in %s", args, err, printed)
	}
	return v
}

func TestUsage(t *testing.T) {
	s := newShell(t)
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
	s := newShell(t)
	good := s.file("good.jsonc", examples.Muotiennuste)
	bad := s.file("bad.jsonc", bytes.Replace(examples.Muotiennuste, []byte(`"replicas": 12`), []byte(`"replicas": 0`), 1))
	s.run(daemon.ExitOK, "check", good)
	s.run(daemon.ExitOK, "check", "--kind", "router", s.file("router.jsonc", examples.Router))
	results := decode[[]checkResult](s, daemon.ExitFailed, "check", "--json", good, bad, filepath.Join(s.dir, "missing"))
	if !results[0].Valid || len(results[1].Problems) != 1 || results[1].Problems[0].Path != "upstreams[0].replicas" || results[2].Error == "" {
		t.Fatalf("got %+v", results)
	}
	if got := s.run(daemon.ExitFailed, "check", bad); !strings.Contains(got, "bad.jsonc:23:") || !strings.Contains(got, "0 is less than 1") {
		t.Fatalf("printed %s", got)
	}
}

func TestFromTrialToProduction(t *testing.T) {
	s := newShell(t)
	first := s.file("1.jsonc", examples.Muotiennuste)
	second := s.file("2.jsonc", bytes.Replace(examples.Muotiennuste, []byte(`"burst": 400`), []byte(`"burst": 500`), 1))

	tried := decode[writeResult](s, daemon.ExitOK, "apply", "--trial", "--json", first)
	s.run(daemon.ExitFailed, "promote", "--digest", "other")
	promoted := decode[writeResult](s, daemon.ExitOK, "promote", "--json", "--digest", tried.Accepted.Digest)
	if promoted.Accepted.Version <= tried.Accepted.Version {
		t.Fatalf("got %+v after %+v", promoted, tried)
	}
	want := config.Change{Path: "limits.burst", Kind: config.ChangeChanged, Old: "400", New: "500"}
	for _, args := range [][]string{{first, second}, {"-", second}} {
		changes := decode[[]config.Change](s, daemon.ExitOK, append([]string{"diff", "--json"}, args...)...)
		if len(changes) != 1 || changes[0] != want {
			t.Fatalf("%v: got %+v", args, changes)
		}
	}
	s.run(daemon.ExitOK, "apply", second)
	lost := decode[writeResult](s, daemon.ExitFailed, "apply", "--json", "--base", "2", "--actor", "boris", first)
	if lost.Lost == nil || lost.Lost.Actor != "anna" || lost.Lost.Changes[0].New != "400" {
		t.Fatalf("got %+v", lost)
	}
	got := s.run(daemon.ExitOK, "audit")
	for _, want := range []string{"config/muotiennuste/trial", "promote", "config/muotiennuste/production"} {
		if !strings.Contains(got, want) {
			t.Errorf("audit lacks %q:\n%s", want, got)
		}
	}
	if got := s.run(daemon.ExitOK, "audit", "--json", "--actor", "boris"); got != "[]\n" {
		t.Fatalf("a lost race left a record: %s", got)
	}
}

func TestDrain(t *testing.T) {
	s := newShell(t)
	s.run(daemon.ExitOK, "drain", "vm-1", "--reason", "new kernel")
	s.run(daemon.ExitFailed, "drain", "vm-1")
	s.run(daemon.ExitOK, "undrain", "vm-1")
	s.run(daemon.ExitFailed, "undrain", "vm-1")
	if got := s.run(daemon.ExitOK, "audit"); !strings.Contains(got, "new kernel") || !strings.Contains(got, "undrain") {
		t.Fatalf("printed %s", got)
	}
}

func TestKeys(t *testing.T) {
	s := newShell(t)
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

func TestStatus(t *testing.T) {
	s := newShell(t)
	status := router.Status{
		VM:      "entry-1",
		Configs: map[ident.Environment]platform.Version{"e": 7},
		Agents: []router.AgentStatus{
			{VM: "b", Upstream: "u", Reachable: true, Models: []wire.ModelReport{{Model: "m2", Fence: 3}}},
			{VM: "a", Upstream: "u", Reachable: true, Leaving: true, Models: []wire.ModelReport{{Model: "m1"}}},
			{VM: "c", Upstream: "u"},
		},
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != statusPath {
			http.NotFound(w, r)
			return
		}
		_ = json.NewEncoder(w).Encode(status)
	}))
	t.Cleanup(server.Close)
	if got := decode[router.Status](s, daemon.ExitOK, "status", "--json", "--router", server.URL); len(got.Agents) != 3 {
		t.Fatalf("got %+v", got)
	}
	var words [][]string
	for line := range strings.Lines(s.run(daemon.ExitOK, "status", "--router", server.URL+"/")) {
		words = append(words, strings.Fields(line))
	}
	if words[1][2] != "e@7" || words[2][0] != "a" || words[2][3] != "leaving" || words[4][3] != "unreachable" || words[7][0] != "m1" || words[8][2] != "3" {
		t.Fatalf("printed %q", words)
	}
	s.run(daemon.ExitFailed, "status", "--router", server.URL+"/elsewhere")
}
