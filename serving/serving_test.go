package serving

import (
	"fmt"
	"math"
	"testing"

	"github.com/laureltally/laureltally/ident"
)

func TestLookupTakesLongestPrefixOfHost(t *testing.T) {
	routes := []Route{
		{Name: "a", Host: "One.example", PathPrefix: "/x/"},
		{Name: "b", Host: "one.example", PathPrefix: "/x/y/"},
		{Name: "c", Host: "two.example", PathPrefix: "/"},
	}
	table := NewTable(routes)
	for _, tt := range []struct{ host, path, want string }{
		{"one.example", "/x/1", "a"},
		{"ONE.example:8080", "/x/y/1", "b"},
		{"one.example", "/x/y", "a"},
		{"one.example", "/x", ""},
		{"one.example", "/z/", ""},
		{"two.example", "/anything", "c"},
		{"three.example", "/x/", ""},
	} {
		got := ""
		if r := table.Lookup(tt.host, tt.path); r != nil {
			got = r.Name
		}
		if got != tt.want {
			t.Errorf("%s%s: got %q, want %q", tt.host, tt.path, got, tt.want)
		}
	}
}

// A read that was overtaken by a newer one must not restore the older configuration.
func TestCurrentConfigNeverReverts(t *testing.T) {
	var f CurrentConfig
	if f.Get() != nil {
		t.Fatal("a configuration is set at the start")
	}
	for _, tt := range []struct {
		revision uint64
		adopted  bool
	}{{5, true}, {5, false}, {4, false}, {9, true}, {8, false}} {
		if got := f.Adopt(&Config{Revision: tt.revision}); got != tt.adopted {
			t.Errorf("revision %d: adopted %v", tt.revision, got)
		}
	}
	if got := f.Get().Config.Revision; got != 9 {
		t.Errorf("revision %d is current", got)
	}
}

// The store is restored from a copy that lacks the newest configurations; the operator
// writes them again afterwards.
func TestRestoredStoreDoesNotRevertTheConfiguration(t *testing.T) {
	var f CurrentConfig
	for _, tt := range []struct {
		restores, revision, number uint64
		adopted                    bool
	}{
		{0, 50, 7, true},
		{1, 1<<36 + 40, 5, false},
		{1, 1<<36 + 45, 7, true},
		{0, 60, 8, false},
		{1, 1<<36 + 46, 9, true},
		{2, 2<<36 + 30, 8, false},
		{2, 2<<36 + 31, 11, true},
	} {
		if got := f.Adopt(&Config{Restores: tt.restores, Revision: tt.revision, Number: tt.number}); got != tt.adopted {
			t.Errorf("version %d after %d restores: adopted %v", tt.number, tt.restores, got)
		}
	}
}

func TestPickFollowsWeights(t *testing.T) {
	r := Route{Targets: []Target{{"a", 90}, {"b", 10}}}
	n := map[ident.Upstream]int{}
	for i := range 10000 {
		id := fmt.Sprint(i)
		first, again := r.Pick(id), r.Pick(id)
		if first != again {
			t.Fatal("one request id yields two services")
		}
		n[first]++
	}
	if share := float64(n["b"]) / 10000; math.Abs(share-0.1) > 0.02 {
		t.Errorf("b got %.3f of the requests", share)
	}
}

func TestRetryable(t *testing.T) {
	for _, tt := range []struct {
		route Route
		want  bool
	}{
		{Route{Kind: Idempotent}, true}, {Route{Kind: NonIdempotent}, false}, {Route{Kind: NonIdempotent, Resumable: true}, false},
		{Route{Kind: Streaming}, false}, {Route{Kind: Streaming, Resumable: true}, true},
	} {
		if got := tt.route.Retryable(); got != tt.want {
			t.Errorf("%+v: %v", tt.route, got)
		}
	}
}
