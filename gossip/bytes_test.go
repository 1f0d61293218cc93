package gossip

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/membership"
	"github.com/laureltally/laureltally/wire"
)

// The fleet of the measurements.
const (
	fleetRegions  = 3
	fleetAgents   = 1600
	loadedModels  = 4
	storedModels  = 4
	turnoverShare = 0.45
	turnoverTime  = time.Hour
	loadTime      = 20 * time.Second
	// round is how long a driver gathers changes before it answers a request
	// that it holds.
	round = 500 * time.Millisecond
	// idleRepeat is how often a held request without an answer is repeated.
	idleRepeat = 10 // rounds
	// budget is the traffic that a router may cause, sent and received.
	budget = 4096 // bytes a second
)

// large adds the largest fleet, which takes a minute, and load that is told.
var large = flag.Bool("digest.large", false, "measure 360 routers and load changes too")

func fleetSizes() []int {
	if *large {
		return []int{24, 90, 360}
	}
	return []int{24, 90}
}

func loadChanges() []time.Duration {
	if *large {
		return []time.Duration{0, 30 * time.Second}
	}
	return []time.Duration{0}
}

// counter counts the bytes written to it.
type counter struct{ n int }

func (c *counter) Write(p []byte) (int, error) { c.n += len(p); return len(p), nil }

func framed(m wire.Message) int {
	var c counter
	if err := wire.Write(&c, m); err != nil {
		panic(err)
	}
	return c.n
}

type fleetAgent struct {
	*process
	told        *View
	subscribers []*fleetRouter
	loading     ident.Model
	loadedAt    time.Duration
}

type fleetRouter struct {
	id     ident.VM
	view   *View
	peers  []*fleetRouter
	silent map[ident.VM]int
	// digests and direct are the bytes sent and received with routers and with
	// agents; whole is what direct would be with whole reports.
	digests, direct, whole int
}

type fleet struct {
	random  *rand.Rand
	routers []*fleetRouter
	agents  []*fleetAgent
	elapsed time.Duration
	// loadChange is the mean time between changes of an agent's load class.
	loadChange time.Duration
	logs       ident.Incarnation
}

func newFleet(routers int, loadChange time.Duration) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(1, 2)), loadChange: loadChange}
	regions := make([][]*fleetRouter, fleetRegions)
	for i := range routers {
		r := &fleetRouter{id: peerName(i), view: f.view(), silent: make(map[ident.VM]int)}
		f.routers = append(f.routers, r)
		regions[i%fleetRegions] = append(regions[i%fleetRegions], r)
	}
	for i, region := range regions {
		f.link(region, regions, i)
	}
	for i := range fleetAgents {
		f.agents = append(f.agents, f.agent(i, regions[i%fleetRegions]))
	}
	f.settle()
	return f
}

// settle gives every router what the agents have told so far, and cursors as
// after exchanging it.
func (f *fleet) settle() {
	for _, a := range f.agents {
		whole := a.told.records[a.VM].whole()
		for _, r := range f.routers {
			r.view.Update(whole)
		}
		for _, r := range a.subscribers {
			r.view.cursors[a.VM] = cursor{log: a.told.opts.Log, position: a.told.position}
		}
	}
	for _, r := range f.routers {
		for _, p := range r.peers {
			r.view.cursors[p.id] = cursor{log: p.view.opts.Log, position: p.view.position}
		}
	}
}

func (f *fleet) view() *View {
	f.logs++
	return New(Options{Log: f.logs, LoadClasses: f.loadChange > 0})
}

func ids(routers []*fleetRouter) []ident.VM {
	out := make([]ident.VM, len(routers))
	for i, r := range routers {
		out[i] = r.id
	}
	return out
}

func find(routers []*fleetRouter, id ident.VM) *fleetRouter {
	return routers[slices.IndexFunc(routers, func(r *fleetRouter) bool { return r.id == id })]
}

// link gives the routers of a region their peers there and in other regions.
func (f *fleet) link(region []*fleetRouter, all [][]*fleetRouter, index int) {
	for _, r := range region {
		for _, p := range Peers(r.id, ids(region)) {
			r.peers = append(r.peers, find(region, p))
		}
	}
	for other, routers := range all {
		if other == index {
			continue
		}
		key := fmt.Sprint("link", index, other)
		from := membership.TopN(key, ids(region), LinksPerRegion)
		to := membership.TopN(key, ids(routers), LinksPerRegion)
		for i := range from {
			r := find(region, from[i])
			r.peers = append(r.peers, find(routers, to[i]))
		}
	}
}

func (f *fleet) agent(n int, region []*fleetRouter) *fleetAgent {
	a := &fleetAgent{process: newProcess(n), told: f.view()}
	for i := range loadedModels + storedModels {
		m := ident.Model(fmt.Sprintf("outlook-%02d", i))
		a.set(m, "", engine.TierDisk)
		if i < loadedModels {
			a.set(m, engine.PhaseLoaded, engine.TierMemory)
		}
	}
	for _, id := range membership.TopN(string(a.VM), ids(region), membership.SubscribersPerRegion) {
		a.subscribers = append(a.subscribers, find(region, id))
	}
	a.told.Update(a.next())
	return a
}

// happens tells whether something with a mean time between comes in this round.
func (f *fleet) happens(mean time.Duration) bool {
	return mean > 0 && f.random.Float64() < float64(round)/float64(mean)
}

// change lets an agent replace a model or change its load.
func (f *fleet) change(a *fleetAgent) {
	changed := false
	switch {
	case a.loading != "" && f.elapsed >= a.loadedAt:
		a.set(a.loading, engine.PhaseLoaded, engine.TierMemory)
		a.loading, changed = "", true
	case a.loading == "" && f.happens(time.Duration(float64(turnoverTime)/(turnoverShare*loadedModels))):
		f.replaceModel(a)
		changed = true
	}
	if f.happens(f.loadChange) {
		a.Running = (a.Running*2 + 1) % 16
		changed = true
	}
	if changed {
		a.told.Update(a.next())
	}
}

func (f *fleet) replaceModel(a *fleetAgent) {
	var loaded, stored []ident.Model
	for name, m := range a.process.models {
		if m.Phase == engine.PhaseLoaded {
			loaded = append(loaded, name)
		} else {
			stored = append(stored, name)
		}
	}
	slices.Sort(loaded)
	slices.Sort(stored)
	a.set(loaded[f.random.IntN(len(loaded))], "", engine.TierDisk)
	a.loading = stored[f.random.IntN(len(stored))]
	a.set(a.loading, engine.PhaseLoading, engine.TierDisk)
	a.loadedAt = f.elapsed + loadTime
}

// step makes one round.
func (f *fleet) step() {
	f.elapsed += round
	for _, a := range f.agents {
		for _, r := range a.subscribers {
			n, whole := f.exchange(a.told, r, a.VM)
			r.direct += n
			r.whole += whole
		}
	}
	for _, r := range f.routers {
		for _, p := range r.peers {
			n, _ := f.exchange(p.view, r, p.id)
			r.digests += n
			p.digests += n
		}
	}
}

// exchange has a router ask a peer or an agent. It returns the bytes of both
// messages, and those of whole reports in place of the reply's, or zero if it
// brought nothing.
func (f *fleet) exchange(from *View, to *fleetRouter, id ident.VM) (n, whole int) {
	req := to.view.Request(id)
	reply := from.Reply(req)
	if len(reply.Reports) == 0 {
		to.silent[id]++
		if to.silent[id]%idleRepeat == 0 {
			n = framed(&req) + framed(&reply)
		}
		to.view.Apply(id, req, reply)
		return n, 0
	}
	to.silent[id] = 0
	to.view.Apply(id, req, reply)
	full := wire.GossipReply{}
	for _, r := range reply.Reports {
		full.Reports = append(full.Reports, from.records[r.VM].whole())
	}
	return framed(&req) + framed(&reply), framed(&full)
}

// TestBytesOfARouter prints what the exchange of reports costs a router.
func TestBytesOfARouter(t *testing.T) {
	const span = time.Minute
	t.Logf("%7s %12s | bytes a second and router: %8s %8s %8s %8s", "routers", "load changes", "digests", "busiest", "direct", "as whole")
	for _, routers := range fleetSizes() {
		for _, load := range loadChanges() {
			f := newFleet(routers, load)
			for range span / round {
				for _, a := range f.agents {
					f.change(a)
				}
				f.step()
			}
			digests, busiest, direct, whole := f.perSecond(span)
			t.Logf("%7d %12v | %35d %8d %8d %8d", routers, load, digests, busiest, direct, whole)
			if load == 0 && digests+direct > budget {
				t.Errorf("%d routers: %d bytes a second, budget %d", routers, digests+direct, budget)
			}
		}
	}
}

func (f *fleet) perSecond(span time.Duration) (digests, busiest, direct, whole int) {
	seconds := int(span / time.Second)
	for _, r := range f.routers {
		digests += r.digests
		direct += r.direct
		whole += r.whole
		busiest = max(busiest, r.digests/seconds)
	}
	n := len(f.routers) * seconds
	return digests / n, busiest, direct / n, whole / n
}

// TestLeavingReachesEveryRouter counts the steps from an agent's word to the
// last router of all regions.
func TestLeavingReachesEveryRouter(t *testing.T) {
	// maxSteps times the hold of an urgent reply stays below three seconds.
	const maxSteps, urgentHold = 16, 100 * time.Millisecond
	for _, routers := range append([]int{6}, fleetSizes()...) {
		f := newFleet(routers, 0)
		a := f.agents[0]
		a.Draining = true
		a.told.Update(a.next())
		steps := 0
		for ; !f.allKnow(a) && steps <= maxSteps; steps++ {
			f.step()
		}
		t.Logf("%d routers: %d steps, %v with urgent replies held for %v", routers, steps, time.Duration(steps)*urgentHold, urgentHold)
		if steps > maxSteps {
			t.Errorf("%d routers: not known everywhere after %d steps", routers, maxSteps)
		}
	}
}

func (f *fleet) allKnow(a *fleetAgent) bool {
	return !slices.ContainsFunc(f.routers, func(r *fleetRouter) bool { return !agrees(r.view, a.process) })
}
