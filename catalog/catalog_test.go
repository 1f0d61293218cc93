package catalog

import (
	"testing"

	"github.com/laureltally/laureltally/config"
)

func testDocument() config.Document {
	return config.Document{
		Environment: "e",
		Priorities:  []string{"high", "low"},
		Models: []config.Model{{
			Name: "m", Priority: "low",
			Adapters: []config.Adapter{{Name: "a"}, {Name: "b", Priority: "high"}},
		}},
		Services: []config.Service{{Name: "portal", Priority: "high", Routes: []config.Route{
			{Methods: []string{"POST"}, PathPrefix: "/search", NonIdempotent: false},
		}}},
		Callers: []config.Caller{{Name: "c", KeySHA256: "00"}},
	}
}

func TestResolve(t *testing.T) {
	c := New(3, testDocument())
	for _, tc := range []struct {
		name     string
		adapter  string
		priority int
		ok       bool
	}{
		{"m", "", 1, true},
		{"a", "a", 1, true},
		{"b", "b", 0, true},
		{"x", "", 0, false},
	} {
		got, ok := c.Resolve(tc.name)
		if ok != tc.ok || string(got.Adapter) != tc.adapter || int(got.Priority) != tc.priority {
			t.Errorf("Resolve(%q) = %+v, %v", tc.name, got, ok)
		}
		if ok && got.Model.Name != "m" {
			t.Errorf("Resolve(%q) found model %q", tc.name, got.Model.Name)
		}
	}
}

func TestNonIdempotent(t *testing.T) {
	s, priority, ok := New(1, testDocument()).Service("portal")
	if !ok || priority != 0 {
		t.Fatalf("Service = priority %v, found %v", priority, ok)
	}
	for _, tc := range []struct {
		method, path string
		want         bool
	}{
		{"GET", "/archive/1", false},
		{"POST", "/orders", true},
		{"POST", "/search/x", false},
		{"DELETE", "/search/x", true},
	} {
		if got := NonIdempotent(s, tc.method, tc.path); got != tc.want {
			t.Errorf("%s %s: NonIdempotent = %v", tc.method, tc.path, got)
		}
	}
}

func TestCallerAndModelNames(t *testing.T) {
	c := New(1, testDocument())
	if _, ok := c.Caller("00"); !ok {
		t.Error("known key not found")
	}
	if _, ok := c.Caller("01"); ok {
		t.Error("unknown key found")
	}
	if got := c.ModelNames(); len(got) != 3 || got[0] != "a" {
		t.Errorf("ModelNames = %v", got)
	}
}
