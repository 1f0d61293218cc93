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

// The simulated fleet.
const (
	fleetRegions  = 3
	fleetAgents   = 1600
	loadedModels  = 4
	storedModels  = 4
	turnoverShare = 0.45
	turnoverTime  = time.Hour
	loadTime      = 20 * time.Second
	// round is how long a router collects changes before it replies to a request
	// that it holds.
	round = 500 * time.Millisecond
	// idleRepeatRounds is after how many rounds a held request without a reply is
	// repeated.
	idleRepeatRounds = 10
	// maxBytesPerSecond bounds the traffic of a router, sent and received.
	maxBytesPerSecond = 4096
)

// large adds the largest fleet, which takes a minute, and changes of load.
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

// byteCounter counts the bytes written to it.
type byteCounter struct{ n int }

func (c *byteCounter) Write(p []byte) (int, error) { c.n += len(p); return len(p), nil }

func frameBytes(m wire.Message) int {
	var c byteCounter
	if err := wire.Write(&c, m); err != nil {
		panic(err)
	}
	return c.n
}

type fleetAgent struct {
	*process
	ownView     *View
	subscribers []*fleetRouter
	loading     ident.Model
	loadedAt    time.Duration
}

type fleetRouter struct {
	id         ident.VM
	view       *View
	peers      []*fleetRouter
	emptyPolls map[ident.VM]int
	// gossipBytes and directBytes are the bytes sent and received with routers and
	// with agents; fullBytes is what directBytes would be with full reports.
	gossipBytes, directBytes, fullBytes int
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
		r := &fleetRouter{id: peerName(i), view: f.view(), emptyPolls: make(map[ident.VM]int)}
		f.routers = append(f.routers, r)
		regions[i%fleetRegions] = append(regions[i%fleetRegions], r)
	}
	for i, region := range regions {
		f.link(region, regions, i)
	}
	for i := range fleetAgents {
		f.agents = append(f.agents, f.agent(i, regions[i%fleetRegions]))
	}
	f.synchronize()
	return f
}

// synchronize gives every router the current reports of all agents, with the
// cursors that a complete exchange leaves.
func (f *fleet) synchronize() {
	for _, a := range f.agents {
		full := a.ownView.records[a.VM].full()
		for _, r := range f.routers {
			r.view.Update(full)
		}
		for _, r := range a.subscribers {
			r.view.cursors[a.VM] = cursor{log: a.ownView.opts.Log, position: a.ownView.position}
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

// link sets the peers of a region's routers, in the region and in others.
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
	a := &fleetAgent{process: newProcess(n), ownView: f.view()}
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
	a.ownView.Update(a.next())
	return a
}

// occurs reports whether an event with the given mean interval occurs in this
// round.
func (f *fleet) occurs(mean time.Duration) bool {
	return mean > 0 && f.random.Float64() < float64(round)/float64(mean)
}

// changeAgent lets an agent replace a model or change its load.
func (f *fleet) changeAgent(a *fleetAgent) {
	changed := false
	switch {
	case a.loading != "" && f.elapsed >= a.loadedAt:
		a.set(a.loading, engine.PhaseLoaded, engine.TierMemory)
		a.loading, changed = "", true
	case a.loading == "" && f.occurs(time.Duration(float64(turnoverTime)/(turnoverShare*loadedModels))):
		f.replaceModel(a)
		changed = true
	}
	if f.occurs(f.loadChange) {
		a.Running = (a.Running*2 + 1) % 16
		changed = true
	}
	if changed {
		a.ownView.Update(a.next())
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

// step runs one round.
func (f *fleet) step() {
	f.elapsed += round
	for _, a := range f.agents {
		for _, r := range a.subscribers {
			n, fullBytes := f.exchange(a.ownView, r, a.VM)
			r.directBytes += n
			r.fullBytes += fullBytes
		}
	}
	for _, r := range f.routers {
		for _, p := range r.peers {
			n, _ := f.exchange(p.view, r, p.id)
			r.gossipBytes += n
			p.gossipBytes += n
		}
	}
}

// exchange lets a router poll a peer or an agent. It returns the bytes of both
// messages, and those of a reply with full reports, or zero if the reply was
// empty.
func (f *fleet) exchange(from *View, to *fleetRouter, id ident.VM) (n, full int) {
	req := to.view.Request(id)
	reply := from.Reply(req)
	if len(reply.Reports) == 0 {
		to.emptyPolls[id]++
		if to.emptyPolls[id]%idleRepeatRounds == 0 {
			n = frameBytes(&req) + frameBytes(&reply)
		}
		to.view.Apply(id, req, reply)
		return n, 0
	}
	to.emptyPolls[id] = 0
	to.view.Apply(id, req, reply)
	fullReply := wire.GossipReply{}
	for _, r := range reply.Reports {
		fullReply.Reports = append(fullReply.Reports, from.records[r.VM].full())
	}
	return frameBytes(&req) + frameBytes(&reply), frameBytes(&fullReply)
}

// TestBytesPerRouter measures the traffic of report exchange per router.
func TestBytesPerRouter(t *testing.T) {
	const span = time.Minute
	t.Logf("%7s %12s | bytes per second and router: %8s %8s %8s %8s", "routers", "load changes", "digests", "busiest", "direct", "in full")
	for _, routers := range fleetSizes() {
		for _, load := range loadChanges() {
			f := newFleet(routers, load)
			for range span / round {
				for _, a := range f.agents {
					f.changeAgent(a)
				}
				f.step()
			}
			gossipBytes, busiest, directBytes, fullBytes := f.perSecond(span)
			t.Logf("%7d %12v | %35d %8d %8d %8d", routers, load, gossipBytes, busiest, directBytes, fullBytes)
			if load == 0 && gossipBytes+directBytes > maxBytesPerSecond {
				t.Errorf("%d routers: %d bytes per second, limit %d", routers, gossipBytes+directBytes, maxBytesPerSecond)
			}
		}
	}
}

func (f *fleet) perSecond(span time.Duration) (gossipBytes, busiest, directBytes, fullBytes int) {
	seconds := int(span / time.Second)
	for _, r := range f.routers {
		gossipBytes += r.gossipBytes
		directBytes += r.directBytes
		fullBytes += r.fullBytes
		busiest = max(busiest, r.gossipBytes/seconds)
	}
	n := len(f.routers) * seconds
	return gossipBytes / n, busiest, directBytes / n, fullBytes / n
}

// TestDrainingReachesEveryRouter counts the rounds until the routers of all
// regions have an agent's report that it is draining.
func TestDrainingReachesEveryRouter(t *testing.T) {
	// maxSteps times the hold time of an urgent reply is less than three seconds.
	const maxSteps, urgentHold = 16, 100 * time.Millisecond
	for _, routers := range append([]int{6}, fleetSizes()...) {
		f := newFleet(routers, 0)
		a := f.agents[0]
		a.Draining = true
		a.ownView.Update(a.next())
		steps := 0
		for ; !f.converged(a) && steps <= maxSteps; steps++ {
			f.step()
		}
		t.Logf("%d routers: %d steps, %v with urgent replies held for %v", routers, steps, time.Duration(steps)*urgentHold, urgentHold)
		if steps > maxSteps {
			t.Errorf("%d routers: not all updated after %d steps", routers, maxSteps)
		}
	}
}

func (f *fleet) converged(a *fleetAgent) bool {
	return !slices.ContainsFunc(f.routers, func(r *fleetRouter) bool { return !matches(r.view, a.process) })
}
