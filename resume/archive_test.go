package resume

import (
	"fmt"
	"slices"
	"testing"

	"github.com/laureltally/laureltally/ident"
)

// Guards against many writers to the store, and against routers that disagree on them.
func TestArchiversAreFew(t *testing.T) {
	for _, n := range []int{1, 6, 47, 64, 533} {
		agents, reversed := make([]Agent, n), make([]Agent, n)
		for i := range agents {
			agents[i] = Agent{VM: ident.VM(fmt.Sprint("10.0.0.", i)), Zone: ident.Zone(fmt.Sprint("z", i%3))}
			reversed[n-1-i] = agents[i]
		}
		used := make(map[ident.VM]bool)
		for i := range 1000 {
			request := fmt.Sprint("request-", i)
			one, two := Archiver(request, agents), Archiver(request, reversed)
			if one == "" || one != two {
				t.Fatalf("%s is archived by %s and %s", request, one, two)
			}
			used[one] = true
		}
		if most := 1 + n/agentsPerArchiver; len(used) > most {
			t.Errorf("%d of %d agents archive", len(used), n)
		}
	}
	if Archiver("x", nil) != "" {
		t.Error("an archiver without agents")
	}
}

// Rule LOST: guards against streams that are neither archived nor told from the record of
// versions: whenever the record does not name their version, Several says so.
func TestSeveralVersionsAreKnown(t *testing.T) {
	complete := func(versions ...string) Record {
		return Record{Versions: map[ident.Upstream][]string{service: versions}, Complete: true}
	}
	for name, tc := range map[string]struct {
		listed []string
		record Record
		// restores is that of the listing.
		restores uint64
		want     bool
	}{
		"one version":                {[]string{"v1"}, complete("v1"), 0, false},
		"two versions":               {[]string{"v1", "v2"}, complete("v1", "v2"), 0, true},
		"second one is not recorded": {[]string{"v1", "v2"}, complete("v1"), 0, true},
		"first one has left":         {[]string{"v2"}, complete("v1", "v2"), 0, true},
		"another one is recorded":    {[]string{"v2"}, complete("v1"), 0, true},
		"nothing is recorded":        {[]string{"v1"}, Record{}, 0, true},
		"record is not complete":     {[]string{"v1"}, Record{Versions: complete("v1").Versions}, 0, true},
		"store was restored":         {[]string{"v1"}, complete("v1"), 1, true},
		"nothing is listed":          {nil, complete("v1"), 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := NewHistory(testGap)
			h.Listed(start, listing(tc.restores, tc.listed...))
			h.Stored(start, tc.record, tc.record.Restores)
			if got := h.Several(service); got != tc.want {
				t.Errorf("several %v, want %v", got, tc.want)
			}
			if got := slices.Contains(h.AllSeveral(), service); got != tc.want {
				t.Errorf("among all services: %v, want %v", got, tc.want)
			}
		})
	}
}
