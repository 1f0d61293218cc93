package residency

import (
	"slices"
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/requestlimit"
	"github.com/laureltally/laureltally/serving"
)

// Scheduler schedules the requests and model loads of one engine. It is not safe for
// concurrent use.
type Scheduler struct {
	opts   Options
	spec   *serving.Engine
	snap   *Snapshot
	models map[ident.Model]*modelState
	// requests are in order of arrival.
	requests         []*pending
	active           int
	tokens           int
	concurrencyLimit concurrencyLimit
	prefill          prefillQueue
	paced            pacedAdmission
	// pace keeps to the limit on requests a second that the engine's server names.
	pace requestlimit.Pace
	// runTime is the average run time of requests, and runTimes their number.
	runTime  time.Duration
	runTimes int
	inFlight *inFlightOrder
	// nextOrder is the earliest time of the next order, after one that was not
	// accepted.
	nextOrder time.Time
	// ordersAllowed is false while another process may still send orders to the
	// engine.
	ordersAllowed bool
	// permit is the open permit request or the granted permit, or nil.
	permit *permitState
	// permitRequestID is the ID of the newest PermitRequest.
	permitRequestID uint64
	// ended is set from when the engine's process is known to have ended until its next
	// snapshot.
	ended bool
	// lastLoad is the newest completed load from the weight store.
	lastLoad        permittedLoad
	expectedRetries []expectedRetry
	// nextPermitRequest is the earliest time of the next permit request.
	nextPermitRequest time.Time
}

// permitState is a requested or granted permit to load a model from the weight store.
type permitState struct {
	PermitRequest
	granted   bool
	grantedAt time.Time
}

// permittedLoad is a completed load for which a permit was granted.
type permittedLoad struct {
	permit uint64
	took   time.Duration
}

// held reports whether the permit has been granted.
func (p *permitState) held() bool { return p != nil && p.granted }

// permitTTL is how long an unused permit is kept while no memory can be freed for the
// load.
const permitTTL = 4 * time.Second

// New returns a Scheduler with no information about its engine.
func New(o Options) *Scheduler {
	o = o.withDefaults()
	return &Scheduler{opts: o, models: make(map[ident.Model]*modelState), runTime: o.RunTime, prefill: newPrefillQueue(), paced: newPacedAdmission()}
}

// Configure sets the description of the engine. It refuses the waiting requests, and
// forgets the plans, for models that the description lacks.
func (s *Scheduler) Configure(e *serving.Engine) []Action {
	if s.spec == nil {
		maxValue := float64(e.Concurrency)
		s.concurrencyLimit = concurrencyLimit{value: max(s.opts.MinLimit, s.opts.StartShare*maxValue), minValue: min(s.opts.MinLimit, maxValue), maxValue: maxValue}
	}
	s.spec = e
	if s.permit != nil && s.permit.Model != "" && e.Model(s.permit.Model) == nil {
		s.permit = nil
	}
	s.expectedRetries = slices.DeleteFunc(s.expectedRetries, func(r expectedRetry) bool { return e.Model(r.model) == nil })
	var out []Action
	s.requests = slices.DeleteFunc(s.requests, func(p *pending) bool {
		if p.isGranted() || e.Model(p.Model) != nil {
			return false
		}
		out = append(out, &Refuse{ID: p.ID, RetryAfter: noReportRetryAfter, Reason: ReasonUnknownModel})
		return true
	})
	return out
}

// AllowOrders permits the Scheduler to send orders to the engine from now on.
func (s *Scheduler) AllowOrders() { s.ordersAllowed = true }

// StopOrders ends that permission.
func (s *Scheduler) StopOrders() { s.ordersAllowed = false }

// Observe takes a snapshot of the engine.
func (s *Scheduler) Observe(now time.Time, snapshot Snapshot) []Action {
	if s.snap != nil && s.snap.Started != snapshot.Started {
		s.resetAfterRestart()
	}
	s.snap, s.ended = &snapshot, false
	s.paced.observe(&snapshot)
	s.finishOrder(now)
	return s.Tick(now)
}

// EngineEnded records that the engine's process has ended, and refuses the waiting requests.
func (s *Scheduler) EngineEnded(now time.Time) []Action {
	s.ended = true
	return s.Tick(now)
}

// Ended reports whether the engine's process has ended.
func (s *Scheduler) Ended() bool { return s.ended }

// resetAfterRestart drops state from before a restart of the engine.
func (s *Scheduler) resetAfterRestart() {
	s.inFlight = nil
	s.pace = requestlimit.Pace{}
	s.paced.pace.restarted()
	for _, st := range s.models {
		st.loadedAt = time.Time{}
	}
}

// finishOrder clears the order in flight if the newest snapshot, which must have been
// requested after the order's response, shows that the order has ended.
func (s *Scheduler) finishOrder(now time.Time) {
	o := s.inFlight
	if o == nil || o.answeredAt.IsZero() || s.snap.ReadAt.Before(o.answeredAt) {
		return
	}
	done := s.applied(&o.Submit)
	if !done && (s.snap.Busy || s.adapterLoading(o)) && now.Sub(o.answeredAt) < s.opts.OrderTimeout {
		return
	}
	if done && o.loadsModel() {
		s.model(o.Model).loadedAt = now
	}
	if o.loadsModel() && s.hasPermit(o.Model) {
		if done {
			s.lastLoad = permittedLoad{permit: s.permit.ID, took: s.snap.ReadAt.Sub(o.answeredAt)}
		}
		s.permit = nil
	}
	s.inFlight = nil
}

func (s *Scheduler) adapterLoading(o *inFlightOrder) bool {
	return slices.Contains(s.snap.LoadingAdapters, AdapterRef{Model: o.Model, Adapter: o.Adapter})
}

// applied reports whether the snapshot shows the effect of an order.
func (s *Scheduler) applied(o *Submit) bool {
	adapters, loaded := s.snap.Loaded[o.Model]
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

// OrderAnswered takes the engine's response to the order in flight.
func (s *Scheduler) OrderAnswered(now time.Time, a OrderAnswer) {
	switch {
	case s.inFlight == nil:
	case a == OrderAccepted:
		s.inFlight.answeredAt = now
	default:
		// A refused order has not run. An unanswered one can't run any more once
		// another order is accepted, since each order carries the number of orders
		// accepted before it.
		s.inFlight = nil
		s.nextOrder = now.Add(orderPause)
	}
}

// orderPause is the pause after an order that was not accepted; a new snapshot
// arrives meanwhile.
const orderPause = 50 * time.Millisecond

// PermitDecided takes the decision on a PermitRequest: whether a permit is granted
// and for which model. Decisions on any but the newest request are ignored. When a permit
// is denied, the requests that wait for its model are refused at once: other VMs have the
// weights, or load them already.
func (s *Scheduler) PermitDecided(now time.Time, id uint64, model ident.Model, d PermitDecision) []Action {
	if s.permit == nil || s.permit.ID != id {
		return nil
	}
	if d != PermitGranted || s.spec == nil || s.spec.Model(model) == nil {
		wanted := s.permit.Model
		s.permit = nil
		s.nextPermitRequest = now.Add(permitRetryDelay)
		if d != PermitDenied || wanted == "" {
			return nil
		}
		return append(s.refuseWaiting(now, wanted), s.Tick(now)...)
	}
	s.permit.Model, s.permit.granted, s.permit.grantedAt = model, true, now
	return s.Tick(now)
}

// refuseWaiting refuses the requests that wait for a model, if its weights are only in the
// weight store.
func (s *Scheduler) refuseWaiting(now time.Time, name ident.Model) []Action {
	if _, loaded := s.snap.Loaded[name]; loaded || s.tier(name) != engine.TierRemote {
		return nil
	}
	var out []Action
	s.requests = slices.DeleteFunc(s.requests, func(p *pending) bool {
		if p.isGranted() || p.Model != name {
			return false
		}
		out = append(out, &Refuse{ID: p.ID, RetryAfter: s.spec.Model(name).RemoteLoad, Reason: ReasonNoPermit})
		return true
	})
	return out
}

// Started returns when the engine's server started, in Unix milliseconds, as the newest
// snapshot says, or zero before the first.
func (s *Scheduler) Started() int64 {
	if s.snap == nil {
		return 0
	}
	return s.snap.Started
}

// SetRequestLimit sets the limit on requests a second that the engine's server names, until
// its next start.
func (s *Scheduler) SetRequestLimit(now time.Time, l serving.RequestLimit) []Action {
	s.pace.Set(now, l)
	return s.Tick(now)
}

// RequestLimit returns that limit.
func (s *Scheduler) RequestLimit() serving.RequestLimit { return s.pace.Limit() }

// PermitRequestOpen reports whether a PermitRequest is undecided or its permit is
// held.
func (s *Scheduler) PermitRequestOpen(id uint64) bool { return s.permit != nil && s.permit.ID == id }

// LoadTime returns how long the load took for which a permit was granted, or zero if it
// has not completed.
func (s *Scheduler) LoadTime(id uint64) time.Duration {
	if s.lastLoad.permit != id {
		return 0
	}
	return s.lastLoad.took
}

// Reserve admits, queues or refuses a request.
func (s *Scheduler) Reserve(now time.Time, r Request) []Action {
	if reason := s.refusalReason(now, &r); reason != "" {
		return []Action{&Refuse{ID: r.ID, RetryAfter: noReportRetryAfter, Reason: reason}}
	}
	if r.SlownessStated {
		s.paced.slownessStated(now)
	}
	s.paced.longPrompt.add(float64(r.PromptTokens))
	s.model(r.Model).requestRate.Add(now, s.opts.RateHalfLife)
	p := &pending{Request: r, arrivedAt: now}
	wait, reason := s.estimate(now, p)
	if wait > r.MaxWait {
		if reason == ReasonLoad {
			s.expectRetry(now, r.Model)
		}
		return []Action{&Refuse{ID: r.ID, RetryAfter: wait, Reason: reason}}
	}
	s.requests = append(s.requests, p)
	return s.Tick(now)
}

// noReportRetryAfter is the retry delay of requests that are refused on arrival
// irrespective of their expected wait; the next report of an engine that has not
// reported is due within a second.
const noReportRetryAfter = time.Second

// refusalReason returns the reason why no request for the model is accepted, or an
// empty string.
func (s *Scheduler) refusalReason(now time.Time, r *Request) Reason {
	switch {
	case s.spec == nil || !s.snapshotFresh(now):
		return ReasonNoReport
	case s.ended:
		return ReasonEnded
	case s.snap.Leaving:
		return ReasonLeaving
	case s.spec.Model(r.Model) == nil:
		return ReasonUnknownModel
	}
	return ""
}

// snapshotFresh reports whether the newest snapshot is recent enough to act on.
func (s *Scheduler) snapshotFresh(now time.Time) bool {
	return s.snap != nil && now.Sub(s.snap.ReadAt) < s.opts.ReportTimeout
}

// Release removes a request, whether waiting or admitted. The outcome of an admitted
// one adjusts the concurrency limit and the estimates.
func (s *Scheduler) Release(now time.Time, id RequestID, o Outcome) []Action {
	i := slices.IndexFunc(s.requests, func(p *pending) bool { return p.ID == id })
	if i < 0 {
		return nil
	}
	p := s.requests[i]
	s.requests = slices.Delete(s.requests, i, i+1)
	if p.isGranted() {
		s.concurrencyLimit.observe(now, &p.Request, o, s.active)
		if o.TimeToFirstEvent > 0 && p.prefillAhead > 0 {
			s.prefill.observe(p.prefillAhead, o.TimeToFirstEvent)
		}
		s.paced.ended(now, p, o)
		s.addActive(now, p, -1)
		if o.Duration > 0 {
			s.runTimes++
			weight := max(runTimeWeight, 1/float64(s.runTimes+assumedRunTimes))
			s.runTime += time.Duration(weight * float64(o.Duration-s.runTime))
		}
	}
	return s.Tick(now)
}

const (
	// runTimeWeight is the weight of one request in the moving average of run times.
	runTimeWeight = 0.05
	// assumedRunTimes is the number of requests that the assumed run time counts as.
	assumedRunTimes = 4
)

// addActive adds n requests like p to the running ones; n is 1 or -1.
func (s *Scheduler) addActive(now time.Time, p *pending, n int) {
	s.active += n
	s.tokens += n * p.CacheTokens
	st := s.model(p.Model)
	st.active += n
	st.lastUsed = now
	if p.Adapter != "" {
		a := st.adapter(p.Adapter)
		a.active += n
		a.lastUsed = now
	}
}

// Tick admits and refuses waiting requests and returns the orders and permit requests
// that are due.
func (s *Scheduler) Tick(now time.Time) []Action {
	if s.spec == nil || s.snap == nil {
		return nil
	}
	s.expirePermit(now)
	out := s.refuseExpired(now)
	if s.ended {
		return out
	}
	out = append(out, s.refuseTooLong(now)...)
	out = append(out, s.grantAll(now)...)
	return append(out, s.plan(now)...)
}

// expirePermit drops a permit that was not used within permitTTL.
func (s *Scheduler) expirePermit(now time.Time) {
	p := s.permit
	if p.held() && !s.loading(p.Model) && now.Sub(p.grantedAt) > permitTTL {
		s.permit = nil
		s.nextPermitRequest = now.Add(permitRetryDelay)
	}
}

// refuseExpired refuses requests that were not admitted within their MaxWait, and
// all waiting requests once the engine is leaving or has ended.
func (s *Scheduler) refuseExpired(now time.Time) []Action {
	var out []Action
	s.requests = slices.DeleteFunc(s.requests, func(p *pending) bool {
		switch {
		case p.isGranted():
			return false
		case s.ended:
			out = append(out, &Refuse{ID: p.ID, RetryAfter: leavingRetryAfter, Reason: ReasonEnded})
			return true
		case s.snap.Leaving:
			out = append(out, &Refuse{ID: p.ID, RetryAfter: leavingRetryAfter, Reason: ReasonLeaving})
			return true
		case now.After(p.expires()):
			wait, _ := s.estimate(now, p)
			s.expectRetry(now, p.Model)
			out = append(out, &Refuse{ID: p.ID, RetryAfter: wait, Reason: ReasonTimeout})
			return true
		}
		return false
	})
	return out
}

// leavingRetryAfter is the retry delay of requests that wait when their engine begins
// to leave or ends; other engines accept them at once.
const leavingRetryAfter = 200 * time.Millisecond

// grantAll admits waiting requests in order of arrival. A request whose prompt does
// not fit into the prefill backlog yet blocks later ones, so that long prompts are not
// starved by short ones.
func (s *Scheduler) grantAll(now time.Time) []Action {
	var out []Action
	for _, p := range s.requests {
		if p.isGranted() || !s.ready(p) || !s.hasCapacity(p) {
			continue
		}
		if !s.prefillFits(now, p) || s.pace.Wait(now, 0) > 0 {
			break
		}
		s.pace.Take(now)
		p.grantedAt = now
		p.prefillAhead = s.prefill.add(now, p.PromptTokens)
		p.prefillAhead = s.paced.admitted(now, p.PromptTokens, p.prefillAhead)
		s.addActive(now, p, 1)
		out = append(out, &Grant{ID: p.ID, Waited: now.Sub(p.arrivedAt), VM: s.snap.VM, Started: s.snap.Started})
	}
	return out
}

// prefillFits reports whether the prompt of a request fits into the prefill backlog.
// A prompt longer than the maximum backlog is admitted only when the backlog is
// empty.
func (s *Scheduler) prefillFits(now time.Time, p *pending) bool {
	if s.paced.inForce() {
		wait, ok := s.pacedWait(now, p, 0)
		return ok && wait == 0
	}
	remaining, maximum := s.prefill.backlog(now), maxBacklog(p.MaxEventGap)
	return remaining == 0 || maximum == 0 || remaining+s.prefill.duration(p.PromptTokens) <= maximum
}

// NextGrant returns when the next request that waits only for the prefill backlog or the
// limit on requests a second can be admitted, and false if there is none.
func (s *Scheduler) NextGrant(now time.Time) (time.Time, bool) {
	backlog, pace := s.prefill.backlog(now), s.pace.Wait(now, 0)
	if backlog == 0 && pace == 0 && !s.paced.inForce() {
		return time.Time{}, false
	}
	for _, p := range s.requests {
		if !p.isGranted() && s.ready(p) && s.hasCapacity(p) {
			prefill := min(backlog, backlog+s.prefill.duration(p.PromptTokens)-maxBacklog(p.MaxEventGap))
			if s.paced.inForce() {
				prefill, _ = s.pacedWait(now, p, 0)
			}
			return now.Add(max(0, prefill, pace)), true
		}
	}
	return time.Time{}, false
}

// hasCapacity reports whether the engine can run one more request within the
// concurrency limit and the part of the cache that requests may reserve. An idle
// engine accepts a request of any size.
func (s *Scheduler) hasCapacity(p *pending) bool {
	if float64(s.active)+1 > s.limit() {
		return false
	}
	total := s.opts.CacheShare * float64(s.spec.CacheTokens)
	return s.active == 0 || float64(s.tokens+p.CacheTokens) <= total
}

// ready reports whether the model and adapter of a request are loaded and not being
// unloaded.
func (s *Scheduler) ready(p *pending) bool {
	adapters, loaded := s.snap.Loaded[p.Model]
	if !loaded || s.unloading(p.Model, p.Adapter) {
		return false
	}
	return p.Adapter == "" || slices.Contains(adapters, p.Adapter)
}

// unloading reports whether the order in flight unloads a model or adapter.
func (s *Scheduler) unloading(model ident.Model, a ident.Adapter) bool {
	if s.inFlight == nil || s.inFlight.Model != model {
		return false
	}
	return s.inFlight.Kind == engine.OrderUnload || s.inFlight.Kind == engine.OrderUnloadAdapter && s.inFlight.Adapter == a
}

func (s *Scheduler) model(name ident.Model) *modelState {
	st := s.models[name]
	if st == nil {
		st = &modelState{}
		s.models[name] = st
	}
	return st
}
