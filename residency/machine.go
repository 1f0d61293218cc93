package residency

import (
	"slices"
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/serving"
)

// Scheduler decides for one engine. It is not safe for concurrent use.
type Scheduler struct {
	opts   Options
	spec   *serving.Engine
	snap   *Snapshot
	models map[ident.Model]*modelState
	// requests are in the order of their arrival.
	requests []*pending
	active   int
	tokens   int
	limit    limit
	prefill  prefillQueue
	runTime  time.Duration
	order    *openOrder
	// nextOrder is when the next order may be given after one that failed.
	nextOrder time.Time
	// mayOrder is cleared while another process may still order the engine.
	mayOrder bool
	// fetch is the model for which a place at the weight store was asked or given.
	fetch *fetchState
	// fetchID is that of the newest Fetch.
	fetchID uint64
	wishes  []wish
	// nextAsk is when places at the weight store are asked for again.
	nextAsk time.Time
}

// fetchState is a place at the weight store.
type fetchState struct {
	PermitRequest
	granted   bool
	grantedAt time.Time
}

// held tells whether there is a place and it was granted.
func (f *fetchState) held() bool { return f != nil && f.granted }

// placeUse is how long a place at the weight store is kept while no room can be
// made for the load.
const placeUse = 4 * time.Second

// New returns a Machine that knows nothing of its engine.
func New(o Options) *Scheduler {
	o = o.withDefaults()
	return &Scheduler{opts: o, models: make(map[ident.Model]*modelState), runTime: o.RunTime, prefill: newPrefillQueue()}
}

// Configure takes the description of the engine.
func (m *Scheduler) Configure(e *serving.Engine) {
	if m.spec == nil {
		most := float64(e.Concurrency)
		m.limit = limit{value: max(m.opts.MinLimit, m.opts.StartShare*most), least: min(m.opts.MinLimit, most), most: most}
	}
	m.spec = e
}

// AllowOrders lets the Machine order the engine from now on.
func (m *Scheduler) AllowOrders() { m.mayOrder = true }

// Observe takes a report of the engine.
func (m *Scheduler) Observe(now time.Time, s Snapshot) []Action {
	if m.snap != nil && m.snap.Started != s.Started {
		m.restarted()
	}
	m.snap = &s
	m.settleOrder(now)
	return m.Tick(now)
}

// restarted forgets what an earlier start of the engine held.
func (m *Scheduler) restarted() {
	m.order = nil
	for _, st := range m.models {
		st.loadedAt = time.Time{}
	}
}

// settleOrder ends the open order if the newest report, asked for after its
// answer, shows that it is over.
func (m *Scheduler) settleOrder(now time.Time) {
	o := m.order
	if o == nil || o.answered.IsZero() || m.snap.ReadAt.Before(o.answered) {
		return
	}
	done := m.effective(&o.Submit)
	if !done && (m.snap.Busy || m.arriving(o)) && now.Sub(o.answered) < m.opts.OrderTimeout {
		return
	}
	if done && o.loads() {
		m.model(o.Model).loadedAt = now
	}
	if o.loads() && m.mayFetch(o.Model) {
		m.fetch = nil
	}
	m.order = nil
}

func (m *Scheduler) arriving(o *openOrder) bool {
	return slices.Contains(m.snap.LoadingAdapters, AdapterRef{Model: o.Model, Adapter: o.Adapter})
}

// effective tells whether the report shows what an order asks for.
func (m *Scheduler) effective(o *Submit) bool {
	adapters, loaded := m.snap.Loaded[o.Model]
	switch o.Kind {
	case engine.OrderLoad:
		return loaded
	case engine.OrderUnload:
		return !loaded
	case engine.OrderLoadAdapter:
		return slices.Contains(adapters, o.Adapter)
	}
	return !slices.Contains(adapters, o.Adapter)
}

// OrderAnswered takes the answer to the open order.
func (m *Scheduler) OrderAnswered(now time.Time, a OrderAnswer) {
	switch {
	case m.order == nil:
	case a == OrderAccepted:
		m.order.answered = now
	default:
		// A refused order has not run; a lost one can't run any more once another is
		// accepted, since each names the orders accepted before it.
		m.order = nil
		m.nextOrder = now.Add(orderPause)
	}
}

// orderPause is the time after an order that was not accepted before the next; a
// fresh report arrives meanwhile.
const orderPause = 50 * time.Millisecond

// PermitDecided takes the answer to a Fetch: a place for the model, or none. An answer
// to any but the newest is left unused.
func (m *Scheduler) PermitDecided(now time.Time, id uint64, model ident.Model, granted bool) []Action {
	if m.fetch == nil || m.fetch.ID != id {
		return nil
	}
	if !granted || m.spec == nil || m.spec.Model(model) == nil {
		m.fetch = nil
		m.nextAsk = now.Add(askPause)
		return nil
	}
	m.fetch.Model, m.fetch.granted, m.fetch.grantedAt = model, true, now
	return m.Tick(now)
}

// PermitRequestOpen tells whether a Fetch still asks for a place at the weight store or
// holds one.
func (m *Scheduler) PermitRequestOpen(id uint64) bool { return m.fetch != nil && m.fetch.ID == id }

// Reserve enters a request.
func (m *Scheduler) Reserve(now time.Time, r Request) []Action {
	if reason := m.closed(now, &r); reason != "" {
		return []Action{&Refuse{ID: r.ID, RetryAfter: blindRetryAfter, Reason: reason}}
	}
	m.model(r.Model).asked.Add(now, m.opts.RateHalfLife)
	p := &pending{Request: r, arrived: now}
	wait, reason := m.estimate(now, p)
	if wait > r.MaxWait {
		if reason == ReasonLoad {
			m.remember(now, r.Model)
		}
		return []Action{&Refuse{ID: r.ID, RetryAfter: wait, Reason: reason}}
	}
	m.requests = append(m.requests, p)
	return m.Tick(now)
}

// blindRetryAfter is what a caller is told while nothing is known of the engine;
// its next report is due within a second.
const blindRetryAfter = time.Second

// closed tells why no request is taken at all, or is empty.
func (m *Scheduler) closed(now time.Time, r *Request) Reason {
	switch {
	case m.spec == nil || !m.sees(now):
		return ReasonBlind
	case m.snap.Leaving:
		return ReasonLeaving
	case m.spec.Model(r.Model) == nil:
		return ReasonUnknown
	}
	return ""
}

// sees tells whether the newest report is fresh enough to act on.
func (m *Scheduler) sees(now time.Time) bool {
	return m.snap != nil && now.Sub(m.snap.ReadAt) < m.opts.ReportTimeout
}

// Release ends a request, whether or not it has a place.
func (m *Scheduler) Release(now time.Time, id RequestID, o Outcome) []Action {
	i := slices.IndexFunc(m.requests, func(p *pending) bool { return p.ID == id })
	if i < 0 {
		return nil
	}
	p := m.requests[i]
	m.requests = slices.Delete(m.requests, i, i+1)
	if p.holds() {
		m.limit.learn(now, &p.Request, o, m.active)
		if o.TimeToFirstEvent > 0 && p.ahead > 0 {
			m.prefill.learn(p.ahead, o.TimeToFirstEvent)
		}
		m.count(now, p, -1)
		if o.Duration > 0 {
			m.runTime += time.Duration(runTimeWeight * float64(o.Duration-m.runTime))
		}
	}
	return m.Tick(now)
}

// runTimeWeight is the weight of one request in the average run time.
const runTimeWeight = 0.05

// count adds a request to those that run, with n of 1, or takes it off with -1.
func (m *Scheduler) count(now time.Time, p *pending, n int) {
	m.active += n
	m.tokens += n * p.CacheTokens
	st := m.model(p.Model)
	st.active += n
	st.lastUsed = now
	if p.Adapter != "" {
		a := st.adapter(p.Adapter)
		a.active += n
		a.lastUsed = now
	}
}

// Tick grants, refuses and orders what is due.
func (m *Scheduler) Tick(now time.Time) []Action {
	if m.spec == nil || m.snap == nil {
		return nil
	}
	m.expireFetch(now)
	out := m.expire(now)
	out = append(out, m.grantAll(now)...)
	return append(out, m.plan(now)...)
}

// expireFetch gives a place at the weight store back that could not be used.
func (m *Scheduler) expireFetch(now time.Time) {
	f := m.fetch
	if f.held() && !m.loading(f.Model) && now.Sub(f.grantedAt) > placeUse {
		m.fetch = nil
		m.nextAsk = now.Add(askPause)
	}
}

// expire refuses requests whose place was not ready in time, and all that wait
// once the engine is leaving.
func (m *Scheduler) expire(now time.Time) []Action {
	var out []Action
	m.requests = slices.DeleteFunc(m.requests, func(p *pending) bool {
		switch {
		case p.holds():
			return false
		case m.snap.Leaving:
			out = append(out, &Refuse{ID: p.ID, RetryAfter: leavingRetryAfter, Reason: ReasonLeaving})
			return true
		case now.After(p.expires()):
			wait, _ := m.estimate(now, p)
			m.remember(now, p.Model)
			out = append(out, &Refuse{ID: p.ID, RetryAfter: wait, Reason: ReasonPatience})
			return true
		}
		return false
	})
	return out
}

// leavingRetryAfter is what a caller is told whose engine leaves: others take its
// requests at once.
const leavingRetryAfter = 200 * time.Millisecond

// grantAll gives places to those that wait longest. Where a prompt has to wait to be
// read, later ones wait behind it, so that long prompts are not passed over.
func (m *Scheduler) grantAll(now time.Time) []Action {
	var out []Action
	for _, p := range m.requests {
		if p.holds() || !m.ready(p) || !m.hasRoom(p) {
			continue
		}
		if !m.prefillFits(now, p) {
			break
		}
		p.granted = now
		p.ahead = m.prefill.add(now, p.PromptTokens)
		m.count(now, p, 1)
		out = append(out, &Grant{ID: p.ID, Waited: now.Sub(p.arrived), VM: m.snap.VM})
	}
	return out
}

// prefillFits tells whether a request's prompt may join those that the engine still has
// to read. One that is longer than all may be is read alone.
func (m *Scheduler) prefillFits(now time.Time, p *pending) bool {
	left, most := m.prefill.backlog(now), maxBacklog(p.MaxEventGap)
	return left == 0 || most == 0 || left+m.prefill.time(p.PromptTokens) <= most
}

// NextGrant is when a request that waits for nothing but prompts to be read gets its
// place, if there is one.
func (m *Scheduler) NextGrant(now time.Time) (time.Time, bool) {
	left := m.prefill.backlog(now)
	if left == 0 {
		return time.Time{}, false
	}
	for _, p := range m.requests {
		if !p.holds() && m.ready(p) && m.hasRoom(p) {
			return now.Add(max(0, min(left, left+m.prefill.time(p.PromptTokens)-maxBacklog(p.MaxEventGap)))), true
		}
	}
	return time.Time{}, false
}

// hasRoom tells whether the engine takes one more request.
func (m *Scheduler) hasRoom(p *pending) bool {
	if float64(m.active)+1 > m.limit.value {
		return false
	}
	total := m.opts.CacheShare * float64(m.spec.CacheTokens)
	return m.active == 0 || float64(m.tokens+p.CacheTokens) <= total
}

// ready tells whether a request's model and adapter are loaded and stay so.
func (m *Scheduler) ready(p *pending) bool {
	adapters, loaded := m.snap.Loaded[p.Model]
	if !loaded || m.unloading(p.Model, p.Adapter) {
		return false
	}
	return p.Adapter == "" || slices.Contains(adapters, p.Adapter)
}

// unloading tells whether the open order takes a model or adapter away.
func (m *Scheduler) unloading(model ident.Model, a ident.Adapter) bool {
	if m.order == nil || m.order.Model != model {
		return false
	}
	return m.order.Kind == engine.OrderUnload || m.order.Kind == engine.OrderUnloadAdapter && m.order.Adapter == a
}

func (m *Scheduler) model(name ident.Model) *modelState {
	st := m.models[name]
	if st == nil {
		st = &modelState{}
		m.models[name] = st
	}
	return st
}
