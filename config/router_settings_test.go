package config

import (
	"encoding/json"
	"os"
	"testing"
)

// Settings from before the limits of callers must stay valid, and limits that ordinary
// callers would meet be refused.
func TestLimitsOfRouterSettings(t *testing.T) {
	text, err := os.ReadFile("../examples/router.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	example, err := ReadRouterSettings(text)
	if err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct {
		connections int
		memoryMB    int64
		valid       bool
	}{{0, 0, true}, {minConnections, minBodyMemoryMB, true}, {minConnections - 1, 0, false}, {0, minBodyMemoryMB - 1, false}} {
		example.MaxConnections, example.BodyMemoryMB = tt.connections, tt.memoryMB
		written, err := json.Marshal(example)
		if err != nil {
			t.Fatal(err)
		}
		s, err := ReadRouterSettings(written)
		if (err == nil) != tt.valid {
			t.Errorf("%d, %d: %v", tt.connections, tt.memoryMB, err)
		}
		if err == nil && tt.connections == 0 && (s.MaxConnections != DefaultMaxConnections || s.BodyMemoryMB != DefaultBodyMemoryMB) {
			t.Errorf("%+v", s)
		}
	}
}
