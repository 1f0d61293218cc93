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
	// footprints holds the sizes of the models that the engine holds.
	footprints map[ident.Model]footprint
	// requests are in order of arrival.
	requests         []*pending
	active           int
	tokens           int
	concurrencyLimit concurrencyLimit
	prefill          prefillQueue
	// pace keeps to the limit on requests a second that the engine's server names.
	pace requestlimit.Pace
	// runTime is the average run time of requests, and runTimes their number.
	runTime  time.Duration
	runTimes int
	inFlight *inFlightOrder
	// unanswered holds the loads that may be carried out late.
	unanswered []expiringOrder
	order      queueOrder
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

// New returns a Scheduler with no information about its engine.
func New(o Options) *Scheduler {
	o = o.withDefaults()
	return &Scheduler{opts: o, models: make(map[ident.Model]*modelState), footprints: make(map[ident.Model]footprint), runTime: o.RunTime, prefill: newPrefillQueue(), order: newQueueOrder()}
}

// Configure sets the description of the engine. It refuses the waiting requests, and
// forgets the plans, for models that the description lacks.
func (s *Scheduler) Configure(e *serving.Engine) []Action {
	maxValue := float64(e.Concurrency)
	if s.spec == nil {
		s.concurrencyLimit.value = max(s.opts.MinLimit, s.opts.StartShare*maxValue)
	}
	s.concurrencyLimit.setBounds(min(s.opts.MinLimit, maxValue), maxValue)
	s.recordFootprints()
	s.spec = e
	s.recordFootprints()
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
	s.recordFootprints()
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
	if s.inFlight != nil && s.inFlight.answeredAt.IsZero() {
		s.recordUnanswered(s.inFlight)
	}
	s.inFlight = nil
	clear(s.footprints)
	s.prefill.clear()
	s.pace = requestlimit.Pace{}
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
		if a == OrderUnanswered {
			s.recordUnanswered(s.inFlight)
		}
		s.inFlight = nil
		s.nextOrder = now.Add(orderPause)
	}
}

// orderPause is the pause after an order that was not accepted; a new snapshot
// arrives meanwhile.
const orderPause = 50 * time.Millisecond

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
		if o.TimeToFirstEvent == 0 {
			s.prefill.remove(now, p.prefillEnd, p.PromptTokens)
		}
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
	out = append(out, s.grantAll(now)...)
	return append(out, s.plan(now)...)
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
