package resume

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/laureltally/laureltally/ident"
)

var start = time.Unix(1000, 0)

func TestRecordsAreKeptForTheirTime(t *testing.T) {
	var r Records
	r.Put(start, "s", "a", "v1")
	now := start
	for i := range 100 {
		now = now.Add(recordTTL / 100)
		r.Put(now, "s", fmt.Sprint(i), "v2")
		if got, ok := r.Get("s", "a"); !ok || got != "v1" {
			t.Fatalf("after %v: %q, known %v", now.Sub(start), got, ok)
		}
	}
	if _, ok := r.Get("other", "a"); ok {
		t.Error("another service knows the stream")
	}
	for range 3 {
		now = now.Add(recordTTL)
		r.Put(now, "s", "b", "v2")
	}
	if _, ok := r.Get("s", "a"); ok {
		t.Error("the record is never dropped")
	}
}

func TestRecordsAreBounded(t *testing.T) {
	var r Records
	for i := range 5 * maxRecords {
		r.Put(start, "s", fmt.Sprint(i), "v1")
	}
	if n := len(r.recent) + len(r.previous); n > 2*maxRecords {
		t.Errorf("%d records", n)
	}
}

// Routers with different connections agree on the home of nearly all streams.
func TestRoutersAgreeOnHomes(t *testing.T) {
	var agents []ident.VM
	for i := range 20 {
		agents = append(agents, ident.VM(fmt.Sprint("10.0.0.", i)))
	}
	const streams = 1000
	missed := 0
	perHome := map[ident.VM]int{}
	for i := range streams {
		request := fmt.Sprint("request-", i)
		home := Homes(request, agents, 1)[0]
		perHome[home]++
		// The other router lacks one agent and has the rest in another order.
		others := slices.Clone(agents)
		others = slices.Delete(others, i%len(agents), i%len(agents)+1)
		slices.Reverse(others)
		if !slices.Contains(Homes(request, others, 2), home) {
			missed++
		}
	}
	if missed > streams/10 {
		t.Errorf("%d of %d streams are not found", missed, streams)
	}
	for vm, n := range perHome {
		if n > 3*streams/len(agents) {
			t.Errorf("%s is the home of %d streams", vm, n)
		}
	}
	if len(Homes("x", nil, 2)) != 0 {
		t.Error("homes without agents")
	}
}

// Half of the agents of a region were replaced, as in a release, after streams were recorded,
// or a zone was lost. A router in any region finds nearly all streams.
func TestStreamsAreFoundAfterARelease(t *testing.T) {
	for _, zones := range []int{1, 2, 3} {
		var agents, replaced, withoutZone []Agent
		for i := range 12 {
			a := Agent{VM: ident.VM(fmt.Sprint("10.0.0.", i)), Zone: ident.Zone(fmt.Sprint("z", i%zones))}
			agents = append(agents, a)
			if a.Zone != "z0" {
				withoutZone = append(withoutZone, a)
			}
			if i < 6 {
				a.VM = ident.VM(fmt.Sprint("10.0.1.", i))
			}
			replaced = append(replaced, a)
		}
		const streams = 1000
		lost, lostWithZone := 0, 0
		for i := range streams {
			request := fmt.Sprint("request-", i)
			told := RecordHomes(request, agents)
			if len(told) != recordHomes {
				t.Fatalf("%d zones: told %v", zones, told)
			}
			found := func(now []Agent) bool {
				return slices.ContainsFunc(QueryHomes(request, now), func(vm ident.VM) bool { return slices.Contains(told, vm) })
			}
			if !found(agents) {
				t.Fatalf("%d zones: %s is told to %v and asked at %v", zones, request, told, QueryHomes(request, agents))
			}
			if !found(replaced) {
				lost++
			}
			if zones > 1 && !found(withoutZone) {
				lostWithZone++
			}
		}
		// Both homes are replaced for about a quarter of the streams.
		if lost > streams*4/10 || lostWithZone > 0 {
			t.Errorf("%d zones: %d of %d streams are not found after a release, %d after the loss of a zone", zones, lost, streams, lostWithZone)
		}
	}
}
