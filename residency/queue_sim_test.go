package residency

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/serving"
)

// simKind is a kind of request that arrives at a simulated engine at random times.
type simKind struct {
	name                string
	tenant              ident.Tenant
	model               ident.Model
	priority            ident.Priority
	objective, deadline time.Duration
	prompt              int
	run                 time.Duration
	// perSecond returns the rate of arrivals at a time since the start.
	perSecond func(at time.Duration) float64
}

// simCount counts the requests of a kind.
type simCount struct{ sent, served, inTime int }

func (c simCount) share() float64       { return float64(c.served) / float64(max(1, c.sent)) }
func (c simCount) shareInTime() float64 { return float64(c.inTime) / float64(max(1, c.sent)) }

// simRequest is a request that waits or runs.
type simRequest struct {
	kind *simKind
	// admitted, firstEvent and ended are set once the request is admitted.
	arrived, admitted, firstEvent, ended time.Time
}

// queueSimulation drives a Scheduler with Poisson arrivals and an engine that prefills 22 tokens
// a millisecond, on virtual time. Refused requests are not retried.
type queueSimulation struct {
	s        *Scheduler
	random   *rand.Rand
	now      time.Time
	snap     Snapshot
	order    *Submit
	orderEnd time.Time
	// prefilled is when the prompts of all running requests have been processed.
	prefilled time.Time
	requests  map[RequestID]*simRequest
	counts    map[string]*simCount
	nextID    RequestID
	// digest is a hash of all actions.
	digest  uint64
	refusal map[Reason]int
}

// simDrain is how long the requests that have arrived may still run at the end.
const simDrain = 15 * time.Second

// simulated runs an engine, which has loaded some models and has all others on disk, with
// arrivals for a time.
func simulated(seed uint64, spec *serving.Engine, loaded []ident.Model, kinds []*simKind, lasting time.Duration) *queueSimulation {
	m := &queueSimulation{s: New(Options{}), random: rand.New(rand.NewPCG(seed, 1)), now: start, requests: map[RequestID]*simRequest{}, counts: map[string]*simCount{}, refusal: map[Reason]int{}}
	m.snap = Snapshot{Loaded: map[ident.Model][]ident.Adapter{}, Tiers: map[ident.Model]engine.Tier{}}
	for i := range spec.Models {
		m.snap.Tiers[spec.Models[i].Name] = engine.TierDisk
	}
	for _, name := range loaded {
		m.snap.Loaded[name] = nil
	}
	m.s.Configure(spec)
	m.s.AllowOrders()
	const step = 5 * time.Millisecond
	for at := time.Duration(0); at < lasting+simDrain; at += step {
		m.now = start.Add(at)
		if m.order != nil && !m.now.Before(m.orderEnd) {
			m.finishOrder()
		}
		if at%(100*time.Millisecond) == 0 {
			m.observe()
		}
		m.endRequests()
		for _, k := range kinds {
			if at >= lasting {
				break
			}
			if m.random.Float64() < k.perSecond(at)*step.Seconds() {
				m.arrive(k)
			}
		}
		m.apply(m.s.Tick(m.now))
	}
	return m
}

func (m *queueSimulation) observe() {
	snap := m.snap
	snap.ReadAt, snap.Busy = m.now, m.order != nil
	snap.Loaded = make(map[ident.Model][]ident.Adapter)
	for name := range m.snap.Loaded {
		snap.Loaded[name] = nil
	}
	m.apply(m.s.Observe(m.now, snap))
}

func (m *queueSimulation) finishOrder() {
	if m.order.Kind == engine.OrderLoad {
		m.snap.Loaded[m.order.Model] = nil
		m.snap.Tiers[m.order.Model] = engine.TierMemory
	} else {
		delete(m.snap.Loaded, m.order.Model)
	}
	m.order = nil
	m.observe()
}

// endRequests ends the requests whose run time is over, in order of their ids.
func (m *queueSimulation) endRequests() {
	var ended []RequestID
	for id, r := range m.requests {
		if !r.ended.IsZero() && !r.ended.After(m.now) {
			ended = append(ended, id)
		}
	}
	slices.SortFunc(ended, cmp.Compare)
	for _, id := range ended {
		r := m.requests[id]
		delete(m.requests, id)
		c := m.counts[r.kind.name]
		if took := r.firstEvent.Sub(r.arrived); r.ended.Sub(r.arrived) <= r.kind.deadline {
			c.served++
			if took <= r.kind.objective {
				c.inTime++
			}
		}
		m.apply(m.s.Release(m.now, id, Outcome{TimeToFirstEvent: r.firstEvent.Sub(r.admitted), LongestEventGap: 50 * time.Millisecond, Duration: r.ended.Sub(r.firstEvent)}))
	}
}

func (m *queueSimulation) arrive(k *simKind) {
	m.nextID++
	if m.counts[k.name] == nil {
		m.counts[k.name] = &simCount{}
	}
	m.counts[k.name].sent++
	m.requests[m.nextID] = &simRequest{kind: k, arrived: m.now}
	// As package ingress sets it.
	maxWait := k.deadline / 2
	if _, ok := m.snap.Loaded[k.model]; ok {
		maxWait = k.objective * 6 / 10
	}
	objective := k.objective
	if k.tenant != "" {
		// The time that the request took to reach the sidecar.
		objective -= time.Duration(m.nextID%7) * time.Millisecond
	}
	m.apply(m.s.Reserve(m.now, Request{
		ID: m.nextID, Model: k.model, Priority: k.priority, CacheTokens: 2 * k.prompt, PromptTokens: k.prompt,
		MaxWait: maxWait, Objective: objective, MaxEventGap: 300 * time.Millisecond,
		Tenant: k.tenant, Deadline: k.deadline,
	}))
}

func (m *queueSimulation) apply(actions []Action) {
	for _, a := range actions {
		m.record(a)
		switch a := a.(type) {
		case *Grant:
			r := m.requests[a.ID]
			r.admitted = m.now
			if m.prefilled.Before(m.now) {
				m.prefilled = m.now
			}
			m.prefilled = m.prefilled.Add(time.Duration(r.kind.prompt) * time.Millisecond / 22)
			r.firstEvent = m.prefilled.Add(10 * time.Millisecond)
			r.ended = r.firstEvent.Add(time.Duration((0.5 + m.random.Float64()) * float64(r.kind.run)))
		case *Refuse:
			m.refusal[a.Reason]++
			delete(m.requests, a.ID)
		case *PermitRequest:
			if a.Model != "" {
				m.apply(m.s.PermitDecided(m.now, a.ID, a.Model, PermitGranted))
			}
		case *Submit:
			m.order, m.orderEnd = a, m.now.Add(m.orderTime(a))
			m.snap.Accepted++
			m.s.OrderAnswered(m.now, OrderAccepted)
		}
	}
}

// orderTime returns how long the engine takes for an order. It finishes the requests of a
// model before it unloads it.
func (m *queueSimulation) orderTime(o *Submit) time.Duration {
	if o.Kind == engine.OrderLoad {
		return m.s.spec.Model(o.Model).LoadTime(m.snap.Tiers[o.Model])
	}
	took := 50 * time.Millisecond
	for _, r := range m.requests {
		if r.kind.model == o.Model && !r.ended.IsZero() {
			took = max(took, r.ended.Sub(m.now))
		}
	}
	return took
}

func (m *queueSimulation) record(a Action) {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d %T %+v", m.digest, a, a)
	m.digest = h.Sum64()
}

// queueSimEngine describes testEngine's models on an engine of 16 requests with a large cache.
func queueSimEngine() *serving.Engine {
	e := testEngine()
	e.CacheTokens = 200000
	return e
}

// constantly returns a constant rate.
func constantly(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}
