package gossip

import (
	"fmt"
	"math/bits"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/wire"
)

// process generates the reports of one agent.
type process struct {
	wire.Report
	models map[ident.Model]wire.ModelReport
}

func newProcess(n int) *process {
	p := &process{models: make(map[ident.Model]wire.ModelReport)}
	p.VM = ident.VM(fmt.Sprintf("drafting-uusimaa-%04d", n))
	p.Role, p.Region, p.Zone, p.Upstream = metastore.RoleAgent, "uusimaa", "uusimaa-1", "drafting"
	p.Address = fmt.Sprintf("10.20.%d.%d:7400", n/250, n%250)
	p.restart()
	return p
}

func (p *process) restart() {
	p.Started++
	p.Incarnation = ident.Incarnation(0x6000000000000000 + uint64(p.Started))
	p.Seq, p.Draining = 0, false
	clear(p.models)
}

func (p *process) set(m ident.Model, phase engine.Phase, tier engine.Tier) {
	if phase == "" && tier == "" {
		delete(p.models, m)
		return
	}
	p.models[m] = wire.ModelReport{Model: m, Phase: phase, Tier: tier}
}

func (p *process) next() wire.Report {
	p.Seq++
	r := p.Report
	r.Models = nil
	for _, m := range p.models {
		r.Models = append(r.Models, m)
	}
	return r
}

// matches reports whether a view has the published state of p.
func matches(v *View, p *process) bool {
	r, ok := v.records[p.VM]
	return ok && r.report.Incarnation == p.Incarnation && r.report.Draining == p.Draining &&
		r.report.Address == p.Address && reflect.DeepEqual(r.models, p.models)
}

// pull runs one poll: to sends its request, and from replies.
func pull(from, to *View, peer ident.VM) []wire.Report {
	req := to.Request(peer)
	return to.Apply(peer, req, from.Reply(req))
}

func peerName(i int) ident.VM { return ident.VM(fmt.Sprintf("router-uusimaa-%d", i)) }

// TestViewsConverge changes processes, restarts routers, and loses and delays
// replies; then all routers pull until their views must be equal.
func TestViewsConverge(t *testing.T) {
	const views, processes, models = 4, 3, 3
	rapid.Check(t, func(t *rapid.T) {
		var vs [views]*View
		var ps [processes]*process
		logs := ident.Incarnation(0)
		newView := func() *View {
			logs++
			return New(Options{Log: logs, MaxReplyBytes: rapid.SampledFrom([]int{1, 200, 0}).Draw(t, "limit")})
		}
		for i := range vs {
			vs[i] = newView()
		}
		for i := range ps {
			ps[i] = newProcess(i)
		}
		type delayed struct {
			to    *View
			peer  ident.VM
			req   wire.GossipRequest
			reply wire.GossipReply
		}
		var delayedReplies []delayed
		for range rapid.IntRange(0, 60).Draw(t, "events") {
			p := ps[rapid.IntRange(0, processes-1).Draw(t, "process")]
			a, b := rapid.IntRange(0, views-1).Draw(t, "a"), rapid.IntRange(0, views-1).Draw(t, "b")
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0, 1:
				m := ident.Model(fmt.Sprint("m", rapid.IntRange(0, models-1).Draw(t, "model")))
				p.set(m, rapid.SampledFrom([]engine.Phase{"", engine.PhaseLoading, engine.PhaseLoaded}).Draw(t, "phase"), "")
				vs[a].Update(p.next())
			case 2:
				p.Draining = true
				vs[a].Update(p.next())
			case 3:
				p.restart()
			case 4:
				vs[a] = newView()
			case 5:
				req := vs[a].Request(peerName(b))
				delayedReplies = append(delayedReplies, delayed{vs[a], peerName(b), req, vs[b].Reply(req)})
			case 6:
				if len(delayedReplies) > 0 {
					o := delayedReplies[rapid.IntRange(0, len(delayedReplies)-1).Draw(t, "late")]
					o.to.Apply(o.peer, o.req, o.reply)
				}
			case 7:
				pull(vs[b], vs[a], peerName(b))
			}
		}
		for _, p := range ps {
			vs[0].Update(p.next())
		}
		for range 4 * views * processes {
			for i := range vs {
				for j := range vs {
					pull(vs[j], vs[i], peerName(j))
				}
			}
		}
		for i, v := range vs {
			for _, p := range ps {
				if !matches(v, p) {
					t.Fatalf("view %d: %+v, want %+v with %v", i, v.records[p.VM], p.Report, p.models)
				}
			}
		}
	})
}

func TestCountChangesAreNotPublished(t *testing.T) {
	v, p := New(Options{Log: 1}), newProcess(1)
	p.set("m", engine.PhaseLoaded, "")
	if !v.Update(p.next()) {
		t.Fatal("first report not published")
	}
	p.Running = 9
	if v.Update(p.next()) {
		t.Fatal("change of counts published")
	}
	withLoads := New(Options{Log: 1, LoadClasses: true})
	withLoads.Update(p.next())
	p.Running = 15
	if withLoads.Update(p.next()) {
		t.Fatal("load published within its class")
	}
	p.Running = 16
	if !withLoads.Update(p.next()) {
		t.Fatal("change of load class not published")
	}
}

func TestSecondPullReturnsOnlyChanges(t *testing.T) {
	from, to, p := New(Options{Log: 1}), New(Options{Log: 2}), newProcess(1)
	p.set("m1", engine.PhaseLoaded, "")
	p.set("m2", "", engine.TierDisk)
	from.Update(p.next())
	pull(from, to, "r")
	p.set("m3", engine.PhaseLoading, "")
	from.Update(p.next())
	req := to.Request("r")
	reply := from.Reply(req)
	if len(reply.Reports) != 1 || len(reply.Reports[0].BaseSeqs) != 1 || len(reply.Reports[0].Models) != 1 || reply.Reports[0].Address != "" {
		t.Fatalf("second reply = %+v, want only the change", reply)
	}
	to.Apply("r", req, reply)
	if !matches(to, p) {
		t.Fatalf("record after the delta = %+v", to.records[p.VM])
	}
	if again := from.Reply(to.Request("r")); len(again.Reports) != 0 {
		t.Fatalf("published twice: %+v", again)
	}
}

// TestPagesReturnEveryRecord reads a log in pages of one report. One process has
// changed again and has so moved behind the other.
func TestPagesReturnEveryRecord(t *testing.T) {
	from, to := New(Options{Log: 1, MaxReplyBytes: 1}), New(Options{Log: 2})
	first, second := newProcess(1), newProcess(2)
	first.set("m1", engine.PhaseLoaded, "")
	from.Update(first.next())
	from.Update(second.next())
	first.set("m2", engine.PhaseLoaded, "")
	from.Update(first.next())
	for range 3 {
		pull(from, to, "r")
	}
	if !matches(to, first) || !matches(to, second) {
		t.Fatalf("records = %+v, %+v", to.records[first.VM], to.records[second.VM])
	}
}

// TestDeltaIsOnlyAppliedToItsBase has one peer skip the state in which a model
// was loaded and another peer publish it.
func TestDeltaIsOnlyAppliedToItsBase(t *testing.T) {
	skipped, other, to := New(Options{Log: 1}), New(Options{Log: 2}), New(Options{Log: 3})
	p := newProcess(1)
	skipped.Update(p.next())
	pull(skipped, to, "skipped")
	p.set("m", engine.PhaseLoaded, "")
	other.Update(p.next())
	pull(other, to, "other")
	p.set("m", "", "")
	p.Draining = true
	skipped.Update(p.next())
	pull(skipped, to, "skipped")
	pull(skipped, to, "skipped")
	if !matches(to, p) {
		t.Fatalf("record = %+v", to.records[p.VM])
	}
}

func TestEveryRouterIsReachedInLogSteps(t *testing.T) {
	for _, n := range []int{1, 2, 3, 4, 8, 30, 120, 360} {
		routers := make([]ident.VM, n)
		for i := range routers {
			routers[i] = peerName(i)
		}
		for _, source := range []int{0, n / 2, n - 1} {
			reached := map[ident.VM]bool{routers[source]: true}
			steps := 0
			for ; len(reached) < n && steps <= n; steps++ {
				var newlyReached []ident.VM
				for _, r := range routers {
					for _, peer := range Peers(r, routers) {
						if reached[peer] {
							newlyReached = append(newlyReached, r)
						}
					}
				}
				for _, r := range newlyReached {
					reached[r] = true
				}
			}
			if limit := bits.Len(uint(n - 1)); steps > limit {
				t.Errorf("%d routers: %d steps, limit %d", n, steps, limit)
			}
		}
	}
}
