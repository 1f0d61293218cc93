package config

import (
	"os"
	"regexp"
	"strings"
	"testing"
)

// rendered returns deploy/ingress.hujson as the platform renders it. A section is rendered
// only if its value, here limits.memory_mb or limits.max_fds, is present.
func rendered(t *testing.T, memoryMB, maxFDs string) []byte {
	t.Helper()
	text, err := os.ReadFile("../deploy/ingress.hujson")
	if err != nil {
		t.Fatal(err)
	}
	s := regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/[\w.]+\}\}`).ReplaceAllStringFunc(string(text), func(section string) string {
		value := ""
		switch {
		case strings.HasPrefix(section, "{{#zones}}"):
			return `{"zone": "z", "region": "r"}`
		case strings.HasPrefix(section, "{{#limits.memory_mb}}"):
			value = memoryMB
		case strings.HasPrefix(section, "{{#limits.max_fds}}"):
			value = maxFDs
		}
		if value == "" {
			return ""
		}
		section = regexp.MustCompile(`\{\{[#/][\w.]+\}\}`).ReplaceAllString(section, "")
		return strings.ReplaceAll(section, "{{.}}", value)
	})
	for placeholder, value := range map[string]string{
		"node_name|json": `"v"`, "region|json": `"r"`, "zone|json": `"z"`, "listen.front|json": `"10.0.0.1:80"`, "listen.ready|json": `"10.0.0.1:81"`,
		"ip": "10.0.0.1", "inner_ports.1": "82", "inner_ports.0|json": "83", "platform.address|json": `"10.0.0.2:80"`,
		"bounds.retry_budget_ratio|json": "0.1", "bounds.retry_slack|json": "50", "bounds.budget_window_s": "10", "beat_interval_ms": "1000",
		"bounds.config_apply_ms": "4000", "bounds.drain_ms": "3000", "bounds.grace_s": "8",
	} {
		s = strings.ReplaceAll(s, "{{"+placeholder+"}}", value)
	}
	return []byte(s)
}

// Guards against a template that is invalid where the platform states no memory, and
// against a value in the wrong unit.
func TestMemoryOfIngressSettings(t *testing.T) {
	for _, tt := range []struct {
		memoryMB string
		want     float64
		valid    bool
	}{{"", 0, true}, {"160", 160, true}, {"0", 0, true}, {"0.16", 0, false}, {"-1", 0, false}, {"1e9", 0, false}} {
		s, err := ReadIngressSettings(rendered(t, tt.memoryMB, ""))
		if (err == nil) != tt.valid || err == nil && s.MemoryMB != tt.want {
			t.Errorf("%q: %v, %v", tt.memoryMB, s.MemoryMB, err)
		}
	}
}

// The same for the descriptors, with and without the memory.
func TestFilesOfIngressSettings(t *testing.T) {
	for _, tt := range []struct {
		memoryMB, maxFDs string
		want             int
		valid            bool
	}{{"", "", 0, true}, {"", "4200", 4200, true}, {"284", "4200", 4200, true}, {"284", "0", 0, true}, {"284", "200", 0, false}, {"284", "-1", 0, false}} {
		s, err := ReadIngressSettings(rendered(t, tt.memoryMB, tt.maxFDs))
		if (err == nil) != tt.valid || err == nil && s.MaxFiles != tt.want {
			t.Errorf("%q, %q: %v, %v", tt.memoryMB, tt.maxFDs, s.MaxFiles, err)
		}
	}
}
