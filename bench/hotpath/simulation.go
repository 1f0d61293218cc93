package hotpath

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/laureltally/laureltally/admission"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/wire"
)

// simulation is the state of one simulation.
type simulation struct {
	timeline
	s         Scenario
	rand      *rand.Rand
	upstreams []*upstream
	routers   [][]*router
	result    *Result
	requests  int
	listed    map[int]bool
}

// Run simulates a scenario and returns its figures. The same scenario with the same
// seed gives the same figures.
func Run(s Scenario) *Result {
	sim := &simulation{s: s, rand: rand.New(rand.NewPCG(s.Seed, 1)), listed: make(map[int]bool)}
	sim.result = newResult(s)
	sim.setUp()
	for region := range s.VMs {
		sim.scheduleArrival(region)
	}
	sim.scheduleFaults()
	sim.after(s.WarmUp, sim.sample)
	sim.run(s.End)
	sim.result.finish(sim)
	return sim.result
}

func (sim *simulation) setUp() {
	for _, n := range sim.s.VMs {
		for range n {
			sim.listed[len(sim.listed)] = true
		}
	}
	for region, n := range sim.s.VMs {
		for range n {
			sim.upstreams = append(sim.upstreams, newUpstream(sim, len(sim.upstreams), region))
		}
		var rs []*router
		for range sim.s.Routers {
			rs = append(rs, newRouter(sim, region*sim.s.Routers+len(rs), region))
		}
		sim.routers = append(sim.routers, rs)
	}
	for _, u := range sim.upstreams {
		sim.deliver(u, 0)
		sim.scheduleReports(u, time.Duration(u.index)*sim.s.ReportInterval/time.Duration(len(sim.upstreams)))
	}
}

func (sim *simulation) scheduleReports(u *upstream, first time.Duration) {
	sim.after(first, func() {
		if !u.down {
			sim.deliver(u, sim.s.ReportLag)
		}
		sim.scheduleReports(u, sim.s.ReportInterval)
	})
}

// deliver sends a report of u to every router, after lag.
func (sim *simulation) deliver(u *upstream, lag time.Duration) {
	rep := u.report()
	deliver := func() {
		for _, rs := range sim.routers {
			for _, r := range rs {
				if sim.listed[u.index] {
					r.report(rep, lag)
				}
			}
		}
	}
	if lag == 0 {
		deliver()
		return
	}
	sim.after(lag, deliver)
}

// sampleInterval is the interval at which the loads of the VMs are sampled.
const sampleInterval = 100 * time.Millisecond

func (sim *simulation) sample() {
	loads := make([]int, 0, len(sim.upstreams))
	for _, u := range sim.upstreams {
		st := u.queue.Stats()
		loads = append(loads, st.Running+st.Waiting)
	}
	sim.result.sample(loads)
	sim.after(sampleInterval, sim.sample)
}

// scheduleArrival schedules the next request of a region, which schedules the one
// after it.
func (sim *simulation) scheduleArrival(region int) {
	capacity := float64(len(sim.upstreams)*sim.s.Concurrency) / sim.s.RunTime.Seconds()
	rate := sim.s.Offered(sim.now)[region] * capacity
	if rate <= 0 {
		sim.after(time.Second, func() { sim.scheduleArrival(region) })
		return
	}
	gap := time.Duration(sim.rand.ExpFloat64() / rate * float64(time.Second))
	sim.after(gap, func() {
		sim.send(sim.newRequest(region))
		sim.scheduleArrival(region)
	})
}

func (sim *simulation) newRequest(region int) *request {
	sim.requests++
	c := sim.class()
	spread := math.Exp(sim.s.Sigma*sim.rand.NormFloat64() - sim.s.Sigma*sim.s.Sigma/2)
	q := &request{
		id:          sim.requests,
		region:      region,
		class:       c,
		idempotent:  sim.rand.Float64() < sim.s.Idempotent,
		baseRunTime: time.Duration(float64(sim.s.RunTime) * spread),
	}
	if sim.s.Prefixes > 0 {
		// The popularity of a prefix is inversely proportional to its rank.
		rank := math.Pow(float64(sim.s.Prefixes), sim.rand.Float64())
		q.prefix = uint64(rank) * 0x9e3779b97f4a7c15
	}
	return q
}

func (sim *simulation) class() *Class {
	x := sim.rand.Float64()
	for i := range sim.s.Classes {
		if x -= sim.s.Classes[i].Share; x < 0 {
			return &sim.s.Classes[i]
		}
	}
	return &sim.s.Classes[len(sim.s.Classes)-1]
}

// send sends a request to one of the region's routers.
func (sim *simulation) send(q *request) {
	q.sentAt, q.deadline, q.attempts, q.pending, q.exclude = sim.now, sim.now+q.class.Deadline, 0, 0, ""
	sim.result.recordRequest(sim.measured(), q)
	rs := sim.routers[q.region]
	r := rs[sim.rand.IntN(len(rs))]
	sim.after(localDelay, func() { r.serve(q) })
}

func (sim *simulation) recordAnswered(q *request) {
	if !q.done {
		q.done = true
		sim.result.recordAnswered(sim.now+localDelay, q)
	}
}

// recordRefused records the refusal of a request, and sends the request again
// after Retry-After if the client has retries left.
func (sim *simulation) recordRefused(q *request, o outcome) {
	sim.result.recordRefused(sim.now, q, o)
	if o.retryAfter <= 0 || q.clientRetries >= sim.s.MaxClientRetries {
		return
	}
	q.clientRetries++
	sim.result.ClientRetries[q.clientRetries]++
	wait := o.retryAfter
	if sim.s.Policy.FixedRetryAfter > 0 {
		wait = sim.s.Policy.FixedRetryAfter
	}
	// Retry-After is in whole seconds.
	wait = (wait + time.Second - 1).Truncate(time.Second)
	sim.after(wait, func() { sim.send(q) })
}

// detectLoss ends an attempt as lost once its VM has been down for
// responseTimeout.
func (sim *simulation) detectLoss(a *attempt, incarnation int) {
	if a.vm.down {
		sim.after(responseTimeout, func() { a.router.ended(a, lostOutcome()) })
		return
	}
	if sim.s.Outage == nil || !sim.inOutage(a.vm) || sim.now >= sim.s.Outage.From {
		return
	}
	sim.after(sim.s.Outage.From+responseTimeout-sim.now, func() {
		if a.vm.incarnation != incarnation {
			a.router.ended(a, lostOutcome())
		}
	})
}

func lostOutcome() outcome { return outcome{run: wire.RunStateUnknown, code: wire.CodeUpstreamLost} }

func (sim *simulation) inOutage(u *upstream) bool {
	for _, i := range sim.s.Outage.VMs {
		if i == u.index {
			return true
		}
	}
	return false
}

// scheduleFaults schedules the outage and the slowdown.
func (sim *simulation) scheduleFaults() {
	if o := sim.s.Outage; o != nil {
		sim.after(o.From, func() { sim.startOutage(o) })
		sim.after(o.Until, func() { sim.endOutage(o) })
	}
	if s := sim.s.Slowdown; s != nil {
		sim.after(s.From, func() { sim.setSlowdown(s.VMs, s.Factor) })
		sim.after(s.Until, func() { sim.setSlowdown(s.VMs, 1) })
	}
}

func (sim *simulation) setSlowdown(vms []int, factor float64) {
	for _, i := range vms {
		sim.upstreams[i].slowdown = factor
	}
}

func (sim *simulation) startOutage(o *Outage) {
	for _, i := range o.VMs {
		sim.upstreams[i].fail()
	}
	sim.after(listLag, func() { sim.updateList(o.VMs, false) })
}

// storeParallel is the number of loads that the weight store serves at once.
const storeParallel = 4

// endOutage starts the VMs again; each loads the model before it serves.
func (sim *simulation) endOutage(o *Outage) {
	for n, i := range o.VMs {
		u := sim.upstreams[i]
		u.down = false
		u.boot()
		batch := time.Duration(1 + n/storeParallel)
		sim.after(o.LoadTime*batch, func() { u.loaded = true })
	}
	sim.after(listLag, func() { sim.updateList(o.VMs, true) })
}

// updateList adds VMs to the platform's list, or removes them if present is false,
// and updates the routers and the queue weights.
func (sim *simulation) updateList(vms []int, present bool) {
	for _, i := range vms {
		sim.listed[i] = present
		for _, rs := range sim.routers {
			for _, r := range rs {
				if !present {
					r.removeVM(vmName(i))
				}
			}
		}
	}
	for _, u := range sim.upstreams {
		if q, ok := u.queue.(*admission.Queue); ok && !sim.s.Policy.EqualShares {
			q.SetWeights(sim.weights(u.region))
		}
	}
}

// weights returns the queue weights of the regions at an upstream of the region
// home, from the capacity in the platform's list.
func (sim *simulation) weights(home int) map[ident.Region]float64 {
	capacity := make(map[ident.Region]float64)
	i := 0
	for region, n := range sim.s.VMs {
		capacity[regionName(region)] = 0
		for range n {
			if sim.listed[i] {
				capacity[regionName(region)]++
			}
			i++
		}
	}
	return admission.RegionWeights(regionName(home), capacity)
}

// loadedNames returns the VMs whose last report at a router has the model loaded.
func (sim *simulation) loadedNames(r *router) []ident.VM {
	var names []ident.VM
	for _, u := range sim.upstreams {
		rep := r.reports[u.name]
		if rep != nil && len(rep.Models) > 0 && rep.Models[0].Phase == "loaded" {
			names = append(names, u.name)
		}
	}
	return names
}

func (sim *simulation) vm(name ident.VM) *upstream {
	for _, u := range sim.upstreams {
		if u.name == name {
			return u
		}
	}
	return nil
}

func (sim *simulation) delay(a, b int) time.Duration {
	if a == b {
		return localDelay
	}
	return regionDelay
}

func (sim *simulation) measured() bool { return sim.now >= sim.s.WarmUp }

func vmName(i int) ident.VM { return ident.VM(fmt.Sprintf("vm-%d", i)) }

func regionName(i int) ident.Region { return ident.Region(fmt.Sprintf("region-%d", i)) }
