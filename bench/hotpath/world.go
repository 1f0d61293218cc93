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

// world is the state of one replay.
type world struct {
	timeline
	s         Scenario
	rand      *rand.Rand
	upstreams []*upstream
	routers   [][]*router
	result    *Result
	asked     int
	listed    map[int]bool
}

// Run replays a scenario.
func Run(s Scenario) *Result {
	w := &world{s: s, rand: rand.New(rand.NewPCG(s.Seed, 1)), listed: make(map[int]bool)}
	w.result = newResult(s)
	w.build()
	for region := range s.VMs {
		w.arrive(region)
	}
	w.faults()
	w.after(s.Warm, w.sample)
	w.run(s.End)
	w.result.close(w)
	return w.result
}

func (w *world) build() {
	for _, n := range w.s.VMs {
		for range n {
			w.listed[len(w.listed)] = true
		}
	}
	for region, n := range w.s.VMs {
		for range n {
			w.upstreams = append(w.upstreams, newUpstream(w, len(w.upstreams), region))
		}
		var rs []*router
		for range w.s.Routers {
			rs = append(rs, newRouter(w, region*w.s.Routers+len(rs), region))
		}
		w.routers = append(w.routers, rs)
	}
	for _, u := range w.upstreams {
		w.deliver(u, 0)
		w.reportLoop(u, time.Duration(u.index)*w.s.ReportEvery/time.Duration(len(w.upstreams)))
	}
}

func (w *world) reportLoop(u *upstream, first time.Duration) {
	w.after(first, func() {
		if !u.dead {
			w.deliver(u, w.s.ReportLag)
		}
		w.reportLoop(u, w.s.ReportEvery)
	})
}

// deliver brings a report to every router.
func (w *world) deliver(u *upstream, lag time.Duration) {
	rep := u.report()
	deliver := func() {
		for _, rs := range w.routers {
			for _, r := range rs {
				if w.listed[u.index] {
					r.report(rep, lag)
				}
			}
		}
	}
	if lag == 0 {
		deliver()
		return
	}
	w.after(lag, deliver)
}

// sampleEvery is how often the loads of the VMs are sampled.
const sampleEvery = 100 * time.Millisecond

func (w *world) sample() {
	loads := make([]int, 0, len(w.upstreams))
	for _, u := range w.upstreams {
		st := u.queue.Stats()
		loads = append(loads, st.Running+st.Waiting)
	}
	w.result.sample(loads)
	w.after(sampleEvery, w.sample)
}

// arrive makes the next request of a region and plans the one after it.
func (w *world) arrive(region int) {
	capacity := float64(len(w.upstreams)*w.s.Places) / w.s.Service.Seconds()
	rate := w.s.Offered(w.now)[region] * capacity
	if rate <= 0 {
		w.after(time.Second, func() { w.arrive(region) })
		return
	}
	gap := time.Duration(w.rand.ExpFloat64() / rate * float64(time.Second))
	w.after(gap, func() {
		w.ask(w.newRequest(region))
		w.arrive(region)
	})
}

func (w *world) newRequest(region int) *request {
	w.asked++
	c := w.class()
	spread := math.Exp(w.s.Sigma*w.rand.NormFloat64() - w.s.Sigma*w.s.Sigma/2)
	q := &request{
		id:         w.asked,
		region:     region,
		class:      c,
		idempotent: w.rand.Float64() < w.s.Idempotent,
		work:       time.Duration(float64(w.s.Service) * spread),
	}
	if w.s.Prefixes > 0 {
		// The popularity of prefixes falls off with their rank.
		rank := math.Pow(float64(w.s.Prefixes), w.rand.Float64())
		q.prefix = uint64(rank) * 0x9e3779b97f4a7c15
	}
	return q
}

func (w *world) class() *Class {
	x := w.rand.Float64()
	for i := range w.s.Classes {
		if x -= w.s.Classes[i].Share; x < 0 {
			return &w.s.Classes[i]
		}
	}
	return &w.s.Classes[len(w.s.Classes)-1]
}

// ask sends a request to one of the region's routers.
func (w *world) ask(q *request) {
	q.asked, q.deadline, q.attempts, q.open, q.exclude = w.now, w.now+q.class.Deadline, 0, 0, ""
	w.result.askedFor(w.measured(), q)
	rs := w.routers[q.region]
	r := rs[w.rand.IntN(len(rs))]
	w.after(localDelay, func() { r.serve(q) })
}

func (w *world) answered(q *request) {
	if !q.done {
		q.done = true
		w.result.answered(w.now+localDelay, q)
	}
}

// refused ends a request, or brings its client back later.
func (w *world) refused(q *request, o outcome) {
	w.result.refused(w.now, q, o)
	if o.retryAfter <= 0 || q.comebacks >= w.s.Comebacks {
		return
	}
	q.comebacks++
	w.result.CameBack[q.comebacks]++
	wait := o.retryAfter
	if w.s.Policy.FixedRetryAfter > 0 {
		wait = w.s.Policy.FixedRetryAfter
	}
	// The header of HTTP counts whole seconds.
	wait = (wait + time.Second - 1).Truncate(time.Second)
	w.after(wait, func() { w.ask(q) })
}

// watch ends an attempt whose VM has gone silent.
func (w *world) watch(a *attempt, life int) {
	if a.vm.dead {
		w.after(silence, func() { a.router.ended(a, lost()) })
		return
	}
	if w.s.Outage == nil || !w.inOutage(a.vm) || w.now >= w.s.Outage.From {
		return
	}
	w.after(w.s.Outage.From+silence-w.now, func() {
		if a.vm.life != life {
			a.router.ended(a, lost())
		}
	})
}

func lost() outcome { return outcome{run: wire.RunStateUnknown, code: wire.CodeUpstreamLost} }

func (w *world) inOutage(u *upstream) bool {
	for _, i := range w.s.Outage.VMs {
		if i == u.index {
			return true
		}
	}
	return false
}

// faults plans the outage and the slowdown.
func (w *world) faults() {
	if o := w.s.Outage; o != nil {
		w.after(o.From, func() { w.lose(o) })
		w.after(o.Until, func() { w.restore(o) })
	}
	if s := w.s.Slowdown; s != nil {
		w.after(s.From, func() { w.setSpeed(s.VMs, s.Factor) })
		w.after(s.Until, func() { w.setSpeed(s.VMs, 1) })
	}
}

func (w *world) setSpeed(vms []int, factor float64) {
	for _, i := range vms {
		w.upstreams[i].slow = factor
	}
}

func (w *world) lose(o *Outage) {
	for _, i := range o.VMs {
		w.upstreams[i].die()
	}
	w.after(listLag, func() { w.list(o.VMs, false) })
}

// storeParallel is how many loads the weight store serves at once.
const storeParallel = 4

// restore brings the VMs back; each loads the model before it serves.
func (w *world) restore(o *Outage) {
	for n, i := range o.VMs {
		u := w.upstreams[i]
		u.dead = false
		u.boot()
		turn := time.Duration(1 + n/storeParallel)
		w.after(o.Load*turn, func() { u.loaded = true })
	}
	w.after(listLag, func() { w.list(o.VMs, true) })
}

// list brings the platform's list up to date everywhere.
func (w *world) list(vms []int, there bool) {
	for _, i := range vms {
		w.listed[i] = there
		for _, rs := range w.routers {
			for _, r := range rs {
				if !there {
					r.forget(vmName(i))
				}
			}
		}
	}
	for _, u := range w.upstreams {
		if q, ok := u.queue.(*admission.Queue); ok && !w.s.Policy.EqualShares {
			q.SetWeights(w.weights(u.region))
		}
	}
}

// weights are the shares of an upstream, by the platform's list.
func (w *world) weights(home int) map[ident.Region]float64 {
	capacity := make(map[ident.Region]float64)
	i := 0
	for region, n := range w.s.VMs {
		capacity[regionName(region)] = 0
		for range n {
			if w.listed[i] {
				capacity[regionName(region)]++
			}
			i++
		}
	}
	return admission.RegionWeights(regionName(home), capacity)
}

// loadedNames lists the VMs that a router knows to hold the model.
func (w *world) loadedNames(r *router) []ident.VM {
	var names []ident.VM
	for _, u := range w.upstreams {
		rep := r.known[u.name]
		if rep != nil && len(rep.Models) > 0 && rep.Models[0].Phase == "loaded" {
			names = append(names, u.name)
		}
	}
	return names
}

func (w *world) vm(name ident.VM) *upstream {
	for _, u := range w.upstreams {
		if u.name == name {
			return u
		}
	}
	return nil
}

func (w *world) delay(a, b int) time.Duration {
	if a == b {
		return localDelay
	}
	return regionDelay
}

func (w *world) measured() bool { return w.now >= w.s.Warm }

func vmName(i int) ident.VM { return ident.VM(fmt.Sprintf("vm-%d", i)) }

func regionName(i int) ident.Region { return ident.Region(fmt.Sprintf("region-%d", i)) }
