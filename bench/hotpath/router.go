package hotpath

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/outlier"
	"github.com/laureltally/laureltally/retry"
	"github.com/laureltally/laureltally/routing"
	"github.com/laureltally/laureltally/wire"
)

// minAttemptTime is the least time that a further attempt is expected to take.
const minAttemptTime = 100 * time.Millisecond

var target = routing.Target{Upstream: "drafting", Model: "m"}

// router is one router VM.
type router struct {
	sim      *simulation
	index    int
	region   int
	rand     *rand.Rand
	table    *routing.Table
	detector *outlier.Detector
	budget   *retry.Budget
	policy   *retry.Policy
	hedger   *retry.Hedger
	next     int
	sent     int
	// reports holds the last report of each VM in the platform's list.
	reports map[ident.VM]*wire.Report
}

func newRouter(sim *simulation, index, region int) *router {
	r := &router{sim: sim, index: index, region: region, reports: make(map[ident.VM]*wire.Report)}
	r.rand = rand.New(rand.NewPCG(sim.s.Seed, uint64(2000+index)))
	chooser, err := routing.New(routing.Options{Rand: r.rand, Routers: r.routerCount(), LoadBound: sim.s.Policy.LoadBound, CrossingShare: sim.s.Policy.CrossingShare, Choices: sim.s.Policy.Choices, FreeShare: sim.s.Policy.FreeShare})
	must(err)
	r.table = routing.NewTable(chooser)
	r.detector, err = outlier.New(outlier.Options{Rand: r.rand})
	must(err)
	r.budget, err = retry.NewBudget(retry.BudgetOptions{})
	must(err)
	r.hedger, err = retry.NewHedger(retry.HedgeOptions{Budget: r.budget})
	must(err)
	r.policy, err = retry.New(retry.Options{Budget: r.budget, Rand: r.rand})
	must(err)
	return r
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

func (r *router) routerCount() int {
	if r.sim.s.Policy.SingleRouter {
		return 1
	}
	return r.sim.s.Routers
}

// report applies an agent's report.
func (r *router) report(rep *wire.Report, age time.Duration) {
	if r.reports[rep.VM] == nil {
		r.detector.Add(rep.VM)
	}
	r.reports[rep.VM] = rep
	r.table.Report(r.sim.clock(), rep, age)
}

// removeVM removes a VM that is no longer in the platform's list.
func (r *router) removeVM(vm ident.VM) {
	delete(r.reports, vm)
	r.table.Remove(vm)
	r.detector.Remove(vm)
}

// serve sends one attempt of a request, or fails the request if there is no VM for
// it.
func (r *router) serve(q *request) {
	vm, crossRegion, ok := r.choose(q)
	if !ok {
		r.retryOrRefuse(q, outcome{run: wire.RunStateNotRun, code: wire.CodeNoReplica, retryAfter: time.Second})
		return
	}
	q.attempts++
	q.pending++
	r.sent++
	r.sim.result.attempt(r.sim.now, r.sim.measured(), crossRegion)
	now := r.sim.clock()
	r.table.RequestStarted(now, vm, q.class.Priority)
	r.detector.RequestStarted(now, vm)
	a := &attempt{req: q, router: r, vm: r.sim.vm(vm), sent: r.sim.now}
	a.id = ident.Attempt(fmt.Sprintf("%d-%d-%d", q.id, q.clientRetries, q.attempts))
	incarnation := a.vm.incarnation
	r.sim.after(r.sim.delay(r.region, a.vm.region), func() { a.vm.offer(a) })
	r.sim.detectLoss(a, incarnation)
	r.scheduleHedge(a)
}

func (r *router) choose(q *request) (ident.VM, bool, bool) {
	switch r.sim.s.Policy.Route {
	case DefaultRouting:
		return r.chooseDefault(q)
	case LeastReported:
		return r.chooseLeastReported()
	}
	names := r.sim.loadedNames(r)
	if len(names) == 0 {
		return "", false, false
	}
	i := r.rand.IntN(len(names))
	if r.sim.s.Policy.Route == RoundRobin {
		r.next++
		i = (r.next + r.index) % len(names)
	}
	return names[i], r.sim.vm(names[i]).region != r.region, true
}

func (r *router) chooseDefault(q *request) (ident.VM, bool, bool) {
	l := routing.Lookup{
		Request: routing.Request{
			Region:           regionName(r.region),
			Priority:         q.class.Priority,
			Remaining:        r.remaining(q),
			Affinity:         q.prefix,
			Exclude:          q.exclude,
			AllowCrossRegion: !r.sim.s.NoCrossRegion,
		},
		Target: target,
		Prefix: q.prefix,
		Health: r.health,
	}
	vm, c, err := r.table.Choose(r.sim.clock(), l)
	return vm, c.CrossRegion, err == nil
}

// remaining returns the time until the deadline for a first attempt, and zero for
// later ones, which then need only the fixed gain to cross regions.
func (r *router) remaining(q *request) time.Duration {
	if q.attempts > 0 {
		return 0
	}
	return q.deadline - r.sim.now
}

func (r *router) health(now time.Time, vm ident.VM) routing.Health {
	if r.sim.s.Policy.NoEjection {
		return routing.Health{}
	}
	s := r.detector.Status(now, vm)
	return routing.Health{Ejected: s.Blocked, LoadShare: s.LoadShare}
}

// chooseLeastReported chooses the VM with the least load in its last report.
func (r *router) chooseLeastReported() (ident.VM, bool, bool) {
	var best ident.VM
	for _, vm := range r.sim.loadedNames(r) {
		if best == "" || load(r.reports[vm]) < load(r.reports[best]) {
			best = vm
		}
	}
	return best, best != "" && r.sim.vm(best).region != r.region, best != ""
}

func load(r *wire.Report) int { return r.Running + r.Waiting }

// ended handles the outcome of an attempt.
func (r *router) ended(a *attempt, o outcome) {
	if a.ended {
		return
	}
	a.ended = true
	a.req.pending--
	now := r.sim.clock()
	latency := time.Duration(0)
	if o.ok {
		latency = r.sim.now - a.sent
	}
	r.table.RequestEnded(now, a.vm.name, target, a.req.class.Priority, latency)
	r.detector.RequestEnded(now, a.vm.name, o.code != wire.CodeUpstreamLost)
	if o.ok {
		r.budget.Success(now)
		r.hedger.ObserveLatency(r.sim.now - a.req.sentAt)
		r.sim.recordAnswered(a.req)
		return
	}
	a.req.exclude = a.vm.name
	if a.req.done || a.req.pending > 0 {
		return
	}
	r.retryOrRefuse(a.req, o)
}

// scheduleHedge sends a second attempt after the hedging delay if the first has not
// ended by then.
func (r *router) scheduleHedge(a *attempt) {
	wait, ok := r.hedger.Delay(a.req.idempotent)
	if !r.sim.s.Policy.Hedging || !ok || a.req.attempts > 1 {
		return
	}
	r.sim.after(wait, func() {
		if a.ended || a.req.done {
			return
		}
		if r.hedger.Hedge(r.sim.clock(), epoch.Add(a.req.deadline), minAttemptTime) {
			a.req.exclude = a.vm.name
			r.serve(a.req)
		}
	})
}

// retryOrRefuse retries a request or refuses it.
func (r *router) retryOrRefuse(q *request, o outcome) {
	if r.sim.s.Policy.Retry == ThreeRetries {
		r.retryNaively(q, o)
		return
	}
	d := r.policy.Decide(r.sim.clock(), retry.Failure{
		Run:         o.run,
		Code:        o.code,
		Idempotent:  q.idempotent,
		Attempts:    max(1, q.attempts),
		Deadline:    epoch.Add(q.deadline),
		MinDuration: minAttemptTime,
	})
	if !d.Retry {
		r.sim.recordRefused(q, o)
		return
	}
	r.sim.after(d.At.Sub(r.sim.clock()), func() { r.serve(q) })
}

// naiveRetries is the number of immediate retries of the baseline.
const naiveRetries = 3

func (r *router) retryNaively(q *request, o outcome) {
	if q.attempts > naiveRetries || o.run != wire.RunStateNotRun && !q.idempotent {
		r.sim.recordRefused(q, o)
		return
	}
	q.attempts = max(1, q.attempts)
	r.sim.after(0, func() { r.serve(q) })
}
