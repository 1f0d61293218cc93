package config

import (
	"errors"
	"reflect"
	"strings"
	"testing"
)

// small is a minimal valid document. Tests replace parts of it by invalid values.
const small = `{
  "environment": "e", // comment
  "aim": {"cold_start": 3},
  "regions": [{"name": "trøndelag", "zones": ["z"]}],
  "priorities": ["high", "low"],
  "upstreams": [{"name": "u", "kind": "engine", "replicas": 2, "memory_mb": 100, "checks_fences": true},
    {"name": "s", "kind": "service", "replicas": 1, "checks_fences": false}],
  "models": [
    {"name": "m", "upstream": "u", "priority": "low", "max_replicas": 2, "memory_mb": 60, "kv_cache_mb": 30,
      "adapters": [{"name": "a", "memory_mb": 10}]},
  ],
  "services": [{"name": "p", "upstream": "s", "priority": "low", "routes": [{"path_prefix": "/x", "non_idempotent": true}]}],
  "callers": [{"name": "c", "key_sha256": "KEY"}],
  "weight_store": {"loads_per_second": 5},
  "limits": {"default_deadline": "5s"},
}`

func smallText() string { return strings.Replace(small, "KEY", strings.Repeat("0a", 32), 1) }

func TestDefaults(t *testing.T) {
	d, err := ReadDocument([]byte(smallText()))
	if err != nil {
		t.Fatal(err)
	}
	var limits Limits
	limits.setDefaults()
	if err := limits.DefaultDeadline.UnmarshalJSON([]byte(`"5s"`)); err != nil {
		t.Fatal(err)
	}
	if d.Limits != limits || d.Models[0].Concurrency != DefaultConcurrency || d.Aim != (Aim{ColdStart: 3, IdleHours: 1}) {
		t.Fatalf("got %+v", d)
	}
	if err := d.Check(); err != nil {
		t.Fatal(err)
	}
}

// positionMark marks the expected position of the problem in a replacement.
const positionMark = "§"

func TestProblemPositions(t *testing.T) {
	tests := []struct {
		from, to, path string
		code           ProblemCode
		detail         string
	}{
		{`"environment": "e",`, `"environment": "e"`, "", ProblemSyntax, `invalid character '"' after object value (expecting ',' or '}')`},
		{`"e"`, `§"a/b"`, "environment", ProblemName, `name "a/b" has other characters than letters, digits and inner '-', '_', '.'`},
		{`"cold_start"`, `§"warm"`, "aim.warm", ProblemUnknown, "unknown field"},
		{`"cold_start": 3`, `"cold_start": 3, §"cold_start": 4`, "aim.cold_start", ProblemDuplicate, "field is given twice"},
		{`"cold_start": 3`, `"cold_start": §"3"`, "aim.cold_start", ProblemType, `expected a number, not "3"`},
		{`{"cold_start": 3`, `§{"cold_start": 0, "idle_hours": 0`, "aim", ProblemRange, "one of the weights must be positive"},
		{`["z"]`, `§null`, "regions[0].zones", ProblemType, "expected a list"},
		{`["z"]`, `["z", §"z"]`, "regions[0].zones[1]", ProblemDuplicate, `"z" is given twice`},
		{`"engine"`, `§"motor"`, "upstreams[0].kind", ProblemRange, `"motor" is none of ["engine" "service"]`},
		{`"max_replicas": 2`, `"max_replicas": §3`, "models[0].max_replicas", ProblemRange, "3 is not within 1 and 2"},
		{`"memory_mb": 10}`, `"memory_mb": §11}`, "models[0].adapters[0].memory_mb", ProblemRange, "11 is not within 0 and 10"},
		{`"memory_mb": 60`, `"memory_mb": §71`, "models[0].memory_mb", ProblemRange, "weights and KV cache take 101 MiB of 100"},
		{`"name": "a",`, `"name": §"m",`, "models[0].adapters[0].name", ProblemDuplicate, `"m" is given twice`},
		{`"m", "upstream": "u"`, `"m", "upstream": §"s"`, "models[0].upstream", ProblemReference, `there is no engine upstream "s"`},
		{`"s", "priority": "low"`, `"s", "priority": §"mid"`, "services[0].priority", ProblemReference, `there is no priority "mid"`},
		{`"/x"`, `§"x"`, "services[0].routes[0].path_prefix", ProblemRange, "path must start with a slash"},
		{`"0a0a`, `§"0A0a`, "callers[0].key_sha256", ProblemRange, "expected a SHA-256 sum in lower-case hexadecimal"},
		{`{"loads_per_second": 5`, `§{`, "weight_store.loads_per_second", ProblemRange, "0 is not positive"},
		{`"loads_per_second": 5`, `"loads_per_second": 5, "parallel_loads": §0`, "weight_store.parallel_loads", ProblemRange, "0 is less than 1"},
		{`"5s"`, `§"1h"`, "limits.default_deadline", ProblemRange, "longer than max_deadline"},
		{`"5s"`, `§5`, "limits.default_deadline", ProblemType, `expected a duration such as "1.5s", not 5`},
	}
	for _, tt := range tests {
		marked := strings.Replace(smallText(), tt.from, tt.to, 1)
		if marked == smallText() {
			t.Fatalf("%s is not in the text", tt.from)
		}
		_, err := ReadDocument([]byte(strings.Replace(marked, positionMark, "", 1)))
		var invalid *InvalidError
		if !errors.As(err, &invalid) {
			t.Errorf("%s: got %v", tt.to, err)
			continue
		}
		want := Problem{Code: tt.code, Path: tt.path, Line: 3, Column: 3, Detail: tt.detail}
		if before, _, ok := strings.Cut(marked, positionMark); ok {
			lines := strings.Split(before, "\n")
			want.Line, want.Column = len(lines), len(lines[len(lines)-1])+1
		}
		if got := invalid.Problems[0]; got != want {
			t.Errorf("%s:\ngot  %+v\nwant %+v", tt.to, got, want)
		}
	}
}

func TestAllProblemsAreListedInOrder(t *testing.T) {
	text := strings.NewReplacer(`"low", "max`, `"mid", "max`, `"loads_per_second": 5`, `"loads_per_second": -1`, `"e"`, `""`).Replace(smallText())
	_, err := ReadDocument([]byte(text))
	var invalid *InvalidError
	if !errors.As(err, &invalid) {
		t.Fatalf("got %v", err)
	}
	var paths []string
	for _, p := range invalid.Problems {
		paths = append(paths, p.Path)
	}
	if want := []string{"environment", "models[0].priority", "weight_store.loads_per_second"}; !reflect.DeepEqual(paths, want) {
		t.Fatalf("got %v, want %v", paths, want)
	}
}

func TestLongTextIsRejected(t *testing.T) {
	_, err := ReadDocument(make([]byte, MaxDocumentBytes+1))
	var size *SizeError
	if !errors.As(err, &size) {
		t.Fatalf("got %v", err)
	}
}

func TestSettingsAreChecked(t *testing.T) {
	_, err := ReadRouterSettings([]byte(`{"vm": "v", "listen": "localhost:80", "platform": "10.0.0.1", "log": {"level": "loud"}}`))
	var invalid *InvalidError
	if !errors.As(err, &invalid) {
		t.Fatalf("got %v", err)
	}
	codes := map[string]ProblemCode{}
	for _, p := range invalid.Problems {
		codes[p.Path] = p.Code
	}
	want := map[string]ProblemCode{
		"region": ProblemMissing, "zone": ProblemMissing, "listen": ProblemRange, "admin_listen": ProblemMissing,
		"peer_listen": ProblemMissing, "platform": ProblemRange, "environments": ProblemMissing,
		"tls.ca": ProblemMissing, "tls.cert": ProblemMissing, "tls.key": ProblemMissing, "log.level": ProblemRange,
	}
	if !reflect.DeepEqual(codes, want) {
		t.Fatalf("got %v, want %v", codes, want)
	}
	agent := &AgentSettings{Kind: KindEngine}
	agent.setDefaults()
	agent.ReportInterval = 1
	if err := agent.Check(); !errors.As(err, &invalid) || !strings.Contains(err.Error(), "memory_mb: 0 is not positive") || !strings.Contains(err.Error(), "report_interval") {
		t.Fatalf("got %v", err)
	}
}
