package hotpath

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/laureltally/laureltally/admission"
	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/wire"
)

// prefixSavings is the share of the run time that a cached prefix saves.
const prefixSavings = 0.3

// upstream is one VM: the agent's queue in front of a simulated engine.
type upstream struct {
	sim    *simulation
	index  int
	name   ident.VM
	region int
	queue  queue
	// incarnation counts starts and failures. Attempts of an earlier incarnation are
	// lost.
	incarnation   int
	down          bool
	loaded        bool
	slowdown      float64
	attempts      map[ident.Attempt]*attempt
	tickScheduled bool
	seq           uint64
	cache         *prefixCache
	peakWaiting   int
}

func newUpstream(sim *simulation, index, region int) *upstream {
	u := &upstream{sim: sim, index: index, name: vmName(index), region: region, slowdown: 1, loaded: true}
	u.boot()
	return u
}

// boot starts a new incarnation without attempts and cached prefixes.
func (u *upstream) boot() {
	u.incarnation++
	u.attempts = make(map[ident.Attempt]*attempt)
	u.cache = newPrefixCache(u.sim.s.Cached)
	u.tickScheduled = false
	u.queue = u.newQueue()
}

func (u *upstream) newQueue() queue {
	s := u.sim.s
	if s.Policy.Queue == FIFO {
		return newFIFO(s.ConfiguredConcurrency)
	}
	q, err := admission.New(admission.Options{
		Region:           regionName(u.region),
		Concurrency:      s.ConfiguredConcurrency,
		FixedConcurrency: s.Policy.FixedLimit,
		WaitShare:        s.Policy.WaitShare,
		PriorityLag:      s.Policy.PriorityLag,
		Rand:             rand.New(rand.NewPCG(s.Seed, uint64(1000+u.index))),
	})
	if err != nil {
		panic(err)
	}
	if !s.Policy.EqualShares {
		q.SetWeights(u.sim.weights(u.region))
	}
	return q
}

// offer adds an attempt to the queue when it arrives.
func (u *upstream) offer(a *attempt) {
	if u.down {
		return
	}
	u.attempts[a.id] = a
	r := a.req
	delay := u.returnDelay(a)
	u.apply(u.queue.Offer(u.sim.clock(), admission.Item{
		ID:          a.id,
		Environment: "e",
		Region:      regionName(r.region),
		Priority:    r.class.Priority,
		Deadline:    epoch.Add(r.deadline - delay),
	}))
}

// returnDelay returns the delay of a response on its way to the client.
func (u *upstream) returnDelay(a *attempt) time.Duration {
	return u.sim.delay(u.region, a.router.region) + localDelay
}

// apply carries out the actions that the queue returned.
func (u *upstream) apply(actions []admission.Action) {
	for _, action := range actions {
		switch x := action.(type) {
		case admission.Admit:
			u.start(u.attempts[x.ID])
		case admission.Refuse:
			a := u.attempts[x.ID]
			delete(u.attempts, x.ID)
			u.reply(a, outcome{run: wire.RunStateNotRun, code: x.Code, retryAfter: x.RetryAfter})
		}
	}
	u.peakWaiting = max(u.peakWaiting, u.queue.Stats().Waiting)
	u.schedule()
}

func (u *upstream) schedule() {
	at, ok := u.queue.NextTick(u.sim.clock())
	if !ok || u.tickScheduled {
		return
	}
	u.tickScheduled = true
	incarnation := u.incarnation
	u.sim.after(at.Sub(u.sim.clock()), func() {
		if incarnation != u.incarnation {
			return
		}
		u.tickScheduled = false
		if !u.down {
			u.apply(u.queue.Tick(u.sim.clock()))
		}
	})
}

// start runs an attempt on the engine.
func (u *upstream) start(a *attempt) {
	a.running, a.startedAt = true, u.sim.now
	duration := u.runTime(a.req)
	incarnation := u.incarnation
	due := a.req.deadline - u.returnDelay(a)
	if u.sim.s.Policy.Queue != FIFO && u.sim.now+duration > due {
		u.sim.after(due-u.sim.now, func() { u.end(a, incarnation, false) })
		return
	}
	u.sim.after(duration, func() { u.end(a, incarnation, true) })
}

// runTime returns the run time of a request. It depends on the VM's slowdown, on
// the number of running requests beyond its concurrency, and on whether the prefix
// is cached.
func (u *upstream) runTime(r *request) time.Duration {
	factor := u.slowdown
	if n := u.queue.Stats().Running; n > u.sim.s.Concurrency {
		factor *= math.Pow(float64(n)/float64(u.sim.s.Concurrency), overcommitExponent)
	}
	if r.prefix != 0 {
		if u.cache.lookup(r.prefix) {
			factor *= 1 - prefixSavings
		}
		u.sim.result.prefix(u.sim.measured(), u.cache.lastHit)
	}
	return time.Duration(float64(r.baseRunTime) * factor)
}

// overcommitExponent is the exponent by which run times grow with the ratio of
// running requests to the engine's concurrency. Above 1, an engine beyond its
// concurrency loses throughput.
const overcommitExponent = 1.3

// end ends an attempt that has completed, or aborts it at its deadline.
func (u *upstream) end(a *attempt, incarnation int, completed bool) {
	if incarnation != u.incarnation || u.down {
		return
	}
	delete(u.attempts, a.id)
	result := admission.Succeeded
	o := outcome{ok: true}
	if !completed {
		result = admission.Failed
		o = outcome{run: wire.RunStateUnknown, code: wire.CodeDeadline}
		u.sim.result.recordAborted(u.sim.measured())
	}
	u.reply(a, o)
	u.apply(u.queue.Finish(u.sim.clock(), a.id, result))
}

func (u *upstream) reply(a *attempt, o outcome) {
	u.sim.after(u.sim.delay(u.region, a.router.region), func() { a.router.ended(a, o) })
}

// fail makes the VM unavailable; its attempts and its loaded model are lost.
func (u *upstream) fail() {
	u.down, u.loaded = true, false
	u.incarnation++
}

// report returns the agent's next load report.
func (u *upstream) report() *wire.Report {
	u.seq++
	st := u.queue.Stats()
	r := &wire.Report{
		VM:           u.name,
		Incarnation:  ident.Incarnation(u.incarnation),
		Seq:          u.seq,
		Role:         metastore.RoleAgent,
		Region:       regionName(u.region),
		Upstream:     "drafting",
		Running:      st.Running,
		Waiting:      st.Waiting,
		Concurrency:  st.Limit,
		RunTime:      st.RunTime,
		PrefixHashes: u.cache.recent(),
	}
	if q, ok := u.queue.(*admission.Queue); ok && !u.sim.s.Policy.NoPriorityCounts {
		r.WaitingByPriority = q.WaitingByPriority()
	}
	phase := engine.PhaseLoading
	if u.loaded {
		phase = engine.PhaseLoaded
	}
	r.Models = []wire.ModelReport{{Model: "m", Phase: phase}}
	return r
}
