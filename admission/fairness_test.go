package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/laureltally/laureltally/ident"
)

// starts runs a backlog with the given priorities per region, one request at a
// time, and returns how many of the first n starts each region and priority
// got.
func starts(t *testing.T, q *Queue, n int, offered map[ident.Region][]ident.Priority) map[string]int {
	t.Helper()
	owner := make(map[ident.Attempt]string)
	now := start
	counts := make(map[string]int)
	var running ident.Attempt
	record := func(actions []Action) {
		for _, id := range admitted(actions) {
			running = id
			if n > 0 {
				counts[owner[id]]++
				n--
			}
		}
	}
	q.Pause(now, now)
	for _, r := range []ident.Region{"r1", "r2", "r3"} {
		for i, p := range offered[r] {
			it := item(fmt.Sprintf("%s-%d", r, i), p, r, 1000*time.Hour)
			owner[it.ID] = fmt.Sprintf("%s/%d", r, p)
			q.Offer(now, it)
		}
	}
	record(q.Resume(now))
	for n > 0 {
		now = now.Add(time.Second)
		record(q.Finish(now, running, Succeeded))
	}
	return counts
}

func repeat(n int, p ident.Priority) []ident.Priority {
	all := make([]ident.Priority, n)
	for i := range all {
		all[i] = p
	}
	return all
}

func TestRegionsShareByWeight(t *testing.T) {
	tests := []struct {
		name    string
		weights map[ident.Region]float64
		want    map[string]int
	}{
		{"equal", nil, map[string]int{"r1/1": 10, "r2/1": 10, "r3/1": 10}},
		{"two to one", map[ident.Region]float64{"r1": 0.5, "r2": 0.25, "r3": 0.25}, map[string]int{"r1/1": 15, "r2/1": 8, "r3/1": 7}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := newQueue(t, func(o *Options) { o.Concurrency = 1 })
			q.SetWeights(tt.weights)
			got := starts(t, q, 30, map[ident.Region][]ident.Priority{"r1": repeat(60, 1), "r2": repeat(20, 1), "r3": repeat(20, 1)})
			for k, want := range tt.want {
				if d := got[k] - want; d < -1 || d > 1 {
					t.Errorf("started %v, want %v", got, tt.want)
				}
			}
		})
	}
}

func TestOnlyMostUrgentPriorityIsStrict(t *testing.T) {
	tests := []struct {
		name   string
		starts int
		want   map[string]int
	}{
		{"urgent class first", 10, map[string]int{"r1/0": 10}},
		{"then the other region catches up to the priority lag", 30, map[string]int{"r1/0": 10, "r1/1": 8, "r2/2": 12}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := newQueue(t, func(o *Options) { o.Concurrency = 1; o.PriorityLag = 6 * time.Second })
			got := starts(t, q, tt.starts, map[ident.Region][]ident.Priority{
				"r1": append(repeat(10, 0), repeat(30, 1)...),
				"r2": repeat(30, 2),
			})
			for k, n := range tt.want {
				if d := got[k] - n; d < -1 || d > 1 {
					t.Errorf("started %v, want %v", got, tt.want)
				}
			}
		})
	}
}

func TestRegionWeights(t *testing.T) {
	tests := []struct {
		name     string
		home     ident.Region
		capacity map[ident.Region]float64
		want     map[ident.Region]float64
	}{
		{"equal regions serve themselves only", "r1", map[ident.Region]float64{"r1": 4, "r2": 4, "r3": 4}, map[ident.Region]float64{"r1": 1}},
		{"the others serve a failed region", "r1", map[ident.Region]float64{"r1": 4, "r2": 4, "r3": 0}, map[ident.Region]float64{"r1": 2.0 / 3, "r3": 1.0 / 3}},
		{"a small region serves itself only", "r3", map[ident.Region]float64{"r1": 5, "r2": 5, "r3": 2}, map[ident.Region]float64{"r3": 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := RegionWeights(tt.home, tt.capacity)
			for r := range tt.capacity {
				if d := got[r] - tt.want[r]; d > 1e-9 || d < -1e-9 {
					t.Errorf("weights %v, want %v", got, tt.want)
				}
			}
		})
	}
}

func TestFullQueueRefusesLastToStart(t *testing.T) {
	q := newQueue(t, func(o *Options) { o.Concurrency = 1; o.MaxWaiting = 2 })
	q.Offer(start, item("running", 1, "r1", time.Hour))
	q.Offer(start, item("kept", 1, "r1", time.Hour))
	q.Offer(start, item("last", 2, "r1", time.Hour))
	got := refused(q.Offer(start, item("urgent", 0, "r2", time.Hour)))
	if _, ok := got["last"]; !ok || len(got) != 1 {
		t.Errorf("refused %v, want last", got)
	}
}

func TestIdleUpstreamAdmitsRequestOfUnknownResponseTime(t *testing.T) {
	q := newQueue(t, func(o *Options) { o.Concurrency = 1 })
	it := item("slow", 0, "r1", time.Hour)
	it.TimeToResponse = 0
	q.Offer(start, it)
	now := start.Add(10 * time.Minute)
	q.Finish(now, "slow", Succeeded)
	it = item("x", 0, "r1", 0)
	it.TimeToResponse, it.Deadline = 0, now.Add(time.Second)
	if got := admitted(q.Offer(now, it)); len(got) != 1 {
		t.Errorf("admitted %v, want x although the last request took 10 min", got)
	}
	it.ID = "y"
	if got := refused(q.Offer(now, it)); len(got) != 1 {
		t.Errorf("refused %v, want y while x runs", got)
	}
}
