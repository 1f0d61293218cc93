package routing

import (
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/wire"
)

// unevenServer is a simulated plain server with lasting speed and slow phases.
type unevenServer struct {
	speed     float64
	slowUntil time.Time
	queue     []*unevenRequest
	// served and waited sum up the time that requests spent in the queue.
	served  int
	waited  time.Duration
	longest int
}

// unevenRequest is one request in the simulation; work is its remaining time at usual speed.
type unevenRequest struct {
	router  int
	work    time.Duration
	arrived time.Time
	started time.Time
}

const (
	unevenSlots   = 4
	unevenStep    = time.Millisecond
	slowFactor    = 2.5
	slowPhase     = 600 * time.Millisecond
	slowShare     = 0.15
	unevenWork    = 30 * time.Millisecond
	unevenSeconds = 40
)

func (s *unevenServer) slowness(now time.Time) float64 {
	if now.Before(s.slowUntil) {
		return slowFactor
	}
	return 1
}

// runUneven simulates routers that send to servers of speeds 0.6, 1 and 1.6 with slow phases,
// at a share of their capacity. The servers state their slowness if it is stated.
func runUneven(t *testing.T, routers int, load float64, stated bool) *unevenResult {
	t.Helper()
	rng := rand.New(rand.NewPCG(7, 8))
	tables := make([]*Table, routers)
	for i := range tables {
		tables[i] = NewTable(newChooser(t, func(o *Options) { o.Rand = rand.New(rand.NewPCG(uint64(i), 3)) }))
	}
	var servers []*unevenServer
	capacity := 0.0
	for i := range 12 {
		s := &unevenServer{speed: []float64{0.6, 1, 1.6}[i%3]}
		servers = append(servers, s)
		capacity += unevenSlots * s.speed / (1 + slowShare*(slowFactor-1)) / unevenWork.Seconds()
	}
	seq := uint64(0)
	report := func(now time.Time, router, i int) {
		s, vm := servers[i], ident.VM(strconv.Itoa(i))
		seq++
		running := min(unevenSlots, len(s.queue))
		tables[router].Report(now, &wire.Report{VM: vm, Role: metastore.RoleAgent, Incarnation: 1, Seq: seq, Region: "r1", Upstream: "u", Running: running, Waiting: len(s.queue) - running, Concurrency: unevenSlots}, 0)
		slowness := 0.0
		if stated {
			slowness = s.slowness(now)
		}
		tables[router].ObserveSlowness(now, vm, slowness)
	}
	for r := range tables {
		for i := range servers {
			report(start, r, i)
		}
	}
	plain := Target{Upstream: "u"}
	res, hash := &unevenResult{}, fnv.New64a()
	for now := start; now.Before(start.Add(unevenSeconds * time.Second)); now = now.Add(unevenStep) {
		if rng.Float64() < load*capacity*unevenStep.Seconds()/4 {
			// Four requests at once, so that herding shows.
			for range 4 {
				r := rng.IntN(routers)
				vm, _, err := tables[r].Choose(now, Lookup{Request: Request{Region: "r1"}, Target: plain})
				if err != nil {
					t.Fatal(err)
				}
				i, err := strconv.Atoi(string(vm))
				if err != nil {
					t.Fatal(err)
				}
				_, _ = hash.Write([]byte(vm))
				tables[r].RequestStarted(now, vm, 0)
				work := time.Duration(rng.ExpFloat64() * float64(unevenWork))
				servers[i].queue = append(servers[i].queue, &unevenRequest{router: r, work: work, arrived: now})
				servers[i].longest = max(servers[i].longest, len(servers[i].queue))
			}
		}
		for i, s := range servers {
			if !now.Before(s.slowUntil) && rng.Float64() < slowShare/(1-slowShare)*float64(unevenStep)/float64(slowPhase) {
				s.slowUntil = now.Add(slowPhase)
			}
			var ended []*unevenRequest
			for _, q := range s.queue[:min(unevenSlots, len(s.queue))] {
				if q.started.IsZero() {
					q.started = now
					s.served++
					s.waited += now.Sub(q.arrived)
				}
				q.work -= time.Duration(float64(unevenStep) * s.speed / s.slowness(now))
				if q.work <= 0 {
					ended = append(ended, q)
				}
			}
			for _, q := range ended {
				s.queue = slices.DeleteFunc(s.queue, func(x *unevenRequest) bool { return x == q })
				report(now, q.router, i)
				tables[q.router].RequestEnded(now, ident.VM(strconv.Itoa(i)), plain, 0, now.Sub(q.arrived))
				res.times = append(res.times, now.Sub(q.arrived))
			}
		}
	}
	slices.Sort(res.times)
	res.choices = hash.Sum64()
	for kind := range res.queued {
		served, waited := 0, time.Duration(0)
		for i := kind; i < len(servers); i += len(res.queued) {
			served, waited = served+servers[i].served, waited+servers[i].waited
			res.longest = max(res.longest, servers[i].longest)
		}
		res.queued[kind] = float64(waited.Milliseconds()) / float64(served)
	}
	return res
}

// unevenResult sums up a run: the mean time in the queue in milliseconds of slow, usual and
// fast servers, the times of all requests in order, and the longest queue.
type unevenResult struct {
	queued  [3]float64
	times   []time.Duration
	longest int
	choices uint64
}

func (r *unevenResult) percentile(n int) time.Duration { return r.times[len(r.times)*n/100] }

// Servers of lasting speeds 0.6, 1 and 1.6, 15 in 100 of them 2.5 times slower for 600 ms at a
// time, with as many routers as the installation has. It guards against queues at the slowest
// servers: without the stated slowness they are 2.7 times as long as at the fastest.
func TestSlowServersHaveNoLongerQueues(t *testing.T) {
	for _, load := range []float64{0.7, 0.85} {
		before, now := runUneven(t, 26, load, false), runUneven(t, 26, load, true)
		t.Logf("load %.2f: queue %.1f ms, was %.1f ms; p99 %v, was %v; longest %d, was %d", load,
			now.queued, before.queued, now.percentile(99), before.percentile(99), now.longest, before.longest)
		if now.queued[0] > 1.7*now.queued[2] {
			t.Errorf("load %.2f: %.1f ms in the queue of the slowest, %.1f ms of the fastest", load, now.queued[0], now.queued[2])
		}
		if now.percentile(99) > before.percentile(99)*85/100 {
			t.Errorf("load %.2f: p99 of %v, %v with three figures", load, now.percentile(99), before.percentile(99))
		}
		if now.longest > before.longest {
			t.Errorf("load %.2f: longest queue %d, %d with three figures", load, now.longest, before.longest)
		}
	}
}

// With three figures the choices are those of the code before the fourth one was read; the
// hash is that of its choices in this simulation.
func TestThreeFiguresAreChosenFromAsBefore(t *testing.T) {
	if got := runUneven(t, 8, 0.7, false).choices; got != 0x4ebf5487acdf2e54 {
		t.Errorf("choices have hash %#x", got)
	}
}

// Routers that all see the same server free and fast do not all choose it before its next
// statement.
func TestFreeServerDrawsNoHerd(t *testing.T) {
	const servers, routers = 12, 200
	chosen := 0
	for r := range routers {
		tab := NewTable(newChooser(t, func(o *Options) { o.Rand = rand.New(rand.NewPCG(uint64(r), 5)) }))
		for i := range servers {
			vm := ident.VM(strconv.Itoa(i))
			busy := min(i, 1)
			tab.Report(start, &wire.Report{VM: vm, Role: metastore.RoleAgent, Incarnation: 1, Seq: 1, Region: "r1", Upstream: "u", Running: 3 * busy, Concurrency: unevenSlots}, 0)
			tab.ObserveSlowness(start, vm, 1+float64(busy)*(slowFactor-1))
		}
		vm, _, err := tab.Choose(start, Lookup{Request: Request{Region: "r1"}, Target: Target{Upstream: "u"}})
		if err != nil {
			t.Fatal(err)
		}
		if vm == "0" {
			chosen++
		}
	}
	if chosen < routers/servers || chosen > routers/4 {
		t.Errorf("%d of %d routers chose the free server of %d", chosen, routers, servers)
	}
}
