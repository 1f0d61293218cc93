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

// prefixSavings is the part of the run time that a cached prefix saves.
const prefixSavings = 0.3

// upstream is one VM: the agent's queue before a fake engine.
type upstream struct {
	w      *world
	index  int
	name   ident.VM
	region int
	queue  queue
	// life counts restarts; attempts of an earlier life are lost.
	life     int
	dead     bool
	loaded   bool
	slow     float64
	attempts map[ident.Attempt]*attempt
	ticking  bool
	seq      uint64
	cache    *prefixCache
	peak     int
}

func newUpstream(w *world, index, region int) *upstream {
	u := &upstream{w: w, index: index, name: vmName(index), region: region, slow: 1, loaded: true}
	u.boot()
	return u
}

// boot starts a new life with empty memory.
func (u *upstream) boot() {
	u.life++
	u.attempts = make(map[ident.Attempt]*attempt)
	u.cache = newPrefixCache(u.w.s.Cached)
	u.ticking = false
	u.queue = u.newQueue()
}

func (u *upstream) newQueue() queue {
	s := u.w.s
	if s.Policy.Queue == FIFO {
		return newFIFO(s.Stated)
	}
	q, err := admission.New(admission.Options{
		Region:           regionName(u.region),
		Concurrency:      s.Stated,
		FixedConcurrency: s.Policy.FixedLimit,
		WaitShare:        s.Policy.WaitShare,
		PriorityLag:      s.Policy.PriorityLag,
		Rand:             rand.New(rand.NewPCG(s.Seed, uint64(1000+u.index))),
	})
	if err != nil {
		panic(err)
	}
	if !s.Policy.EqualShares {
		q.SetWeights(u.w.weights(u.region))
	}
	return q
}

// offer takes an attempt that has arrived.
func (u *upstream) offer(a *attempt) {
	if u.dead {
		return
	}
	u.attempts[a.id] = a
	r := a.req
	back := u.wayBack(a)
	u.act(u.queue.Offer(u.w.clock(), admission.Item{
		ID:          a.id,
		Environment: "e",
		Region:      regionName(r.region),
		Priority:    r.class.Priority,
		Deadline:    epoch.Add(r.deadline - back),
	}))
}

// wayBack is the delay of an answer to the client.
func (u *upstream) wayBack(a *attempt) time.Duration {
	return u.w.delay(u.region, a.router.region) + localDelay
}

// act carries out the actions of the queue.
func (u *upstream) act(actions []admission.Action) {
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
	u.peak = max(u.peak, u.queue.Stats().Waiting)
	u.schedule()
}

func (u *upstream) schedule() {
	at, ok := u.queue.NextTick(u.w.clock())
	if !ok || u.ticking {
		return
	}
	u.ticking = true
	life := u.life
	u.w.after(at.Sub(u.w.clock()), func() {
		if life != u.life {
			return
		}
		u.ticking = false
		if !u.dead {
			u.act(u.queue.Tick(u.w.clock()))
		}
	})
}

// start runs an attempt on the engine.
func (u *upstream) start(a *attempt) {
	a.running, a.begun = true, u.w.now
	took := u.runTime(a.req)
	life := u.life
	due := a.req.deadline - u.wayBack(a)
	if u.w.s.Policy.Queue != FIFO && u.w.now+took > due {
		u.w.after(due-u.w.now, func() { u.end(a, life, false) })
		return
	}
	u.w.after(took, func() { u.end(a, life, true) })
}

// runTime slows down when more runs than the engine has places for.
func (u *upstream) runTime(r *request) time.Duration {
	f := u.slow
	if n := u.queue.Stats().Running; n > u.w.s.Places {
		f *= math.Pow(float64(n)/float64(u.w.s.Places), overcommitPower)
	}
	if r.prefix != 0 {
		if u.cache.hit(r.prefix) {
			f *= 1 - prefixSavings
		}
		u.w.result.prefix(u.w.measured(), u.cache.lastHit)
	}
	return time.Duration(float64(r.work) * f)
}

// overcommitPower tells how an engine slows down beyond its places; over 1 it
// loses throughput.
const overcommitPower = 1.3

// end finishes an attempt, or cuts it at its deadline.
func (u *upstream) end(a *attempt, life int, whole bool) {
	if life != u.life || u.dead {
		return
	}
	delete(u.attempts, a.id)
	result := admission.Succeeded
	o := outcome{ok: true}
	if !whole {
		result = admission.Failed
		o = outcome{run: wire.RunStateUnknown, code: wire.CodeDeadline}
		u.w.result.cut(u.w.measured())
	}
	u.reply(a, o)
	u.act(u.queue.Finish(u.w.clock(), a.id, result))
}

func (u *upstream) reply(a *attempt, o outcome) {
	u.w.after(u.w.delay(u.region, a.router.region), func() { a.router.ended(a, o) })
}

// die loses everything that the VM held.
func (u *upstream) die() {
	u.dead, u.loaded = true, false
	u.life++
}

// report is what the agent tells the routers.
func (u *upstream) report() *wire.Report {
	u.seq++
	st := u.queue.Stats()
	r := &wire.Report{
		VM:           u.name,
		Incarnation:  ident.Incarnation(u.life),
		Seq:          u.seq,
		Role:         metastore.RoleAgent,
		Region:       regionName(u.region),
		Upstream:     "drafting",
		Running:      st.Running,
		Waiting:      st.Waiting,
		Concurrency:  st.Limit,
		RunTime:      st.RunTime,
		PrefixHashes: u.cache.sample(),
	}
	if q, ok := u.queue.(*admission.Queue); ok && !u.w.s.Policy.BlindReports {
		r.WaitingByPriority = q.WaitingByPriority()
	}
	phase := engine.PhaseLoading
	if u.loaded {
		phase = engine.PhaseLoaded
	}
	r.Models = []wire.ModelReport{{Model: "m", Phase: phase}}
	return r
}
