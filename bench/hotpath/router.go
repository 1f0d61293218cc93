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

// minNeed is the least time that a further attempt is expected to take.
const minNeed = 100 * time.Millisecond

var target = routing.Target{Upstream: "drafting", Model: "m"}

// router is one entry VM.
type router struct {
	w       *world
	index   int
	region  int
	rand    *rand.Rand
	table   *routing.Table
	ejector *outlier.Detector
	budget  *retry.Budget
	policy  *retry.Policy
	hedger  *retry.Hedger
	turn    int
	sent    int
	// known holds the VMs in the router's list and their last report.
	known map[ident.VM]*wire.Report
}

func newRouter(w *world, index, region int) *router {
	r := &router{w: w, index: index, region: region, known: make(map[ident.VM]*wire.Report)}
	r.rand = rand.New(rand.NewPCG(w.s.Seed, uint64(2000+index)))
	chooser, err := routing.New(routing.Options{Rand: r.rand, Routers: r.peers(), LoadBound: w.s.Policy.LoadBound, CrossingShare: w.s.Policy.CrossingShare, Choices: w.s.Policy.Choices, FreeShare: w.s.Policy.FreeShare})
	must(err)
	r.table = routing.NewTable(chooser)
	r.ejector, err = outlier.New(outlier.Options{Rand: r.rand})
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

func (r *router) peers() int {
	if r.w.s.Policy.Alone {
		return 1
	}
	return r.w.s.Routers
}

// report takes the report of an agent.
func (r *router) report(rep *wire.Report, age time.Duration) {
	if r.known[rep.VM] == nil {
		r.ejector.Add(rep.VM)
	}
	r.known[rep.VM] = rep
	r.table.Report(r.w.clock(), rep, age)
}

// forget drops a VM that has left the platform's list.
func (r *router) forget(vm ident.VM) {
	delete(r.known, vm)
	r.table.Remove(vm)
	r.ejector.Remove(vm)
}

// serve makes an attempt at a request.
func (r *router) serve(q *request) {
	vm, crosses, ok := r.choose(q)
	if !ok {
		r.failed(q, outcome{run: wire.RunStateNotRun, code: wire.CodeNoReplica, retryAfter: time.Second})
		return
	}
	q.attempts++
	q.open++
	r.sent++
	r.w.result.attempt(r.w.now, r.w.measured(), crosses)
	now := r.w.clock()
	r.table.RequestStarted(now, vm, q.class.Priority)
	r.ejector.RequestStarted(now, vm)
	a := &attempt{req: q, router: r, vm: r.w.vm(vm), sent: r.w.now}
	a.id = ident.Attempt(fmt.Sprintf("%d-%d-%d", q.id, q.comebacks, q.attempts))
	life := a.vm.life
	r.w.after(r.w.delay(r.region, a.vm.region), func() { a.vm.offer(a) })
	r.w.watch(a, life)
	r.planHedge(a)
}

func (r *router) choose(q *request) (ident.VM, bool, bool) {
	switch r.w.s.Policy.Route {
	case OwnRouting:
		return r.chooseOwn(q)
	case LeastReported:
		return r.chooseLeast()
	}
	names := r.w.loadedNames(r)
	if len(names) == 0 {
		return "", false, false
	}
	i := r.rand.IntN(len(names))
	if r.w.s.Policy.Route == RoundRobin {
		r.turn++
		i = (r.turn + r.index) % len(names)
	}
	return names[i], r.w.vm(names[i]).region != r.region, true
}

func (r *router) chooseOwn(q *request) (ident.VM, bool, bool) {
	l := routing.Lookup{
		Request: routing.Request{
			Region:           regionName(r.region),
			Priority:         q.class.Priority,
			Remaining:        r.patience(q),
			Affinity:         q.prefix,
			Exclude:          q.exclude,
			AllowCrossRegion: !r.w.s.NoCrossing,
		},
		Target: target,
		Prefix: q.prefix,
		Health: r.health,
	}
	vm, c, err := r.table.Choose(r.w.clock(), l)
	return vm, c.CrossRegion, err == nil
}

// patience is the time left, or none once a VM has refused the request.
func (r *router) patience(q *request) time.Duration {
	if q.attempts > 0 {
		return 0
	}
	return q.deadline - r.w.now
}

func (r *router) health(now time.Time, vm ident.VM) routing.Health {
	if r.w.s.Policy.NoEjection {
		return routing.Health{}
	}
	s := r.ejector.Status(now, vm)
	return routing.Health{Ejected: s.Blocked, LoadShare: s.LoadShare}
}

// chooseLeast takes the least load as last reported.
func (r *router) chooseLeast() (ident.VM, bool, bool) {
	var best ident.VM
	for _, vm := range r.w.loadedNames(r) {
		if best == "" || load(r.known[vm]) < load(r.known[best]) {
			best = vm
		}
	}
	return best, best != "" && r.w.vm(best).region != r.region, best != ""
}

func load(r *wire.Report) int { return r.Running + r.Waiting }

// ended takes the outcome of an attempt.
func (r *router) ended(a *attempt, o outcome) {
	if a.ended {
		return
	}
	a.ended = true
	a.req.open--
	now := r.w.clock()
	took := time.Duration(0)
	if o.ok {
		took = r.w.now - a.sent
	}
	r.table.RequestEnded(now, a.vm.name, target, a.req.class.Priority, took)
	r.ejector.RequestEnded(now, a.vm.name, o.code != wire.CodeUpstreamLost)
	if o.ok {
		r.budget.Success(now)
		r.hedger.ObserveLatency(r.w.now - a.req.asked)
		r.w.answered(a.req)
		return
	}
	a.req.exclude = a.vm.name
	if a.req.done || a.req.open > 0 {
		return
	}
	r.failed(a.req, o)
}

// planHedge makes a second attempt later if the first has not ended by then.
func (r *router) planHedge(a *attempt) {
	wait, ok := r.hedger.Delay(a.req.idempotent)
	if !r.w.s.Policy.Hedging || !ok || a.req.attempts > 1 {
		return
	}
	r.w.after(wait, func() {
		if a.ended || a.req.done {
			return
		}
		if r.hedger.Hedge(r.w.clock(), epoch.Add(a.req.deadline), minNeed) {
			a.req.exclude = a.vm.name
			r.serve(a.req)
		}
	})
}

// failed repeats a request or gives it up.
func (r *router) failed(q *request, o outcome) {
	if r.w.s.Policy.Retry == ThreeRetries {
		r.failedNaively(q, o)
		return
	}
	d := r.policy.Decide(r.w.clock(), retry.Failure{
		Run:         o.run,
		Code:        o.code,
		Idempotent:  q.idempotent,
		Attempts:    max(1, q.attempts),
		Deadline:    epoch.Add(q.deadline),
		MinDuration: minNeed,
	})
	if !d.Retry {
		r.w.refused(q, o)
		return
	}
	r.w.after(d.At.Sub(r.w.clock()), func() { r.serve(q) })
}

// naiveRetries is how often the baseline repeats a request at once.
const naiveRetries = 3

func (r *router) failedNaively(q *request, o outcome) {
	if q.attempts > naiveRetries || o.run != wire.RunStateNotRun && !q.idempotent {
		r.w.refused(q, o)
		return
	}
	q.attempts = max(1, q.attempts)
	r.w.after(0, func() { r.serve(q) })
}
