package residency

import (
	"slices"
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/serving"
)

// configSim is a Scheduler with an engine that carries out each order until the next snapshot.
// Its models have the sizes that were configured when their loads were ordered.
type configSim struct {
	scheduler *Scheduler
	now       time.Time
	spec      *serving.Engine
	snap      Snapshot
	sizes     map[ident.Model]float64
	permit    PermitRequest
	orders    []*Submit
	// ordered is the size in MB, when it was ordered, of the model that is being loaded.
	ordered float64
	// answered, if set, reports whether the next order gets an answer; late holds those that got
	// none.
	answered func() bool
	late     []lateOrder
}

// lateOrder is an order that got no answer, with the time at which it was sent.
type lateOrder struct {
	order *Submit
	at    time.Time
}

func newConfigSim(names []ident.Model) *configSim {
	s := &configSim{scheduler: New(Options{}), now: start, sizes: make(map[ident.Model]float64), ordered: 45}
	s.snap = Snapshot{Loaded: map[ident.Model][]ident.Adapter{"a": nil, "b": nil}, Tiers: map[ident.Model]engine.Tier{"a": engine.TierDisk, "b": engine.TierDisk, "c": engine.TierDisk}}
	s.sizes["a"], s.sizes["b"] = 45, 45
	s.configure(names, 45)
	s.scheduler.AllowOrders()
	s.observe()
	return s
}

func (s *configSim) configure(names []ident.Model, megabytes float64) {
	s.spec = testEngine()
	s.spec.Models = nil
	for _, name := range names {
		s.spec.Models = append(s.spec.Models, serving.Model{
			Name: name, MemoryMB: megabytes, AdapterMB: 1, Adapters: 5, RemoteLoad: 6 * time.Second, DiskLoad: time.Second, MemoryLoad: 500 * time.Millisecond,
		})
	}
	s.spec.Index()
	s.apply(s.scheduler.Configure(s.spec))
}

func (s *configSim) apply(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case *PermitRequest:
			s.permit = *a
		case *Submit:
			if a.ExpectedAccepted != s.snap.Accepted {
				s.scheduler.OrderAnswered(s.now, OrderRefused)
				continue
			}
			if s.answered != nil && !s.answered() {
				s.late = append(s.late, lateOrder{a, s.now})
				s.scheduler.OrderAnswered(s.now, OrderUnanswered)
				continue
			}
			s.orders = append(s.orders, a)
			if a.Kind == engine.OrderLoad {
				s.ordered = s.spec.Model(a.Model).MemoryMB
			}
			s.scheduler.OrderAnswered(s.now, OrderAccepted)
		}
	}
}

// observe carries out the orders and passes a snapshot on.
func (s *configSim) observe() {
	s.now = s.now.Add(time.Millisecond)
	for _, o := range s.orders {
		s.execute(o)
	}
	s.orders = nil
	s.apply(s.scheduler.Observe(s.now, readAt(s.now, s.snap)))
}

// execute carries out an order.
func (s *configSim) execute(o *Submit) {
	s.snap.Accepted++
	switch o.Kind {
	case engine.OrderLoad:
		if _, loaded := s.snap.Loaded[o.Model]; loaded {
			return
		}
		s.snap.Loaded[o.Model], s.snap.Tiers[o.Model] = nil, engine.TierMemory
		s.sizes[o.Model] = s.ordered
	case engine.OrderUnload:
		delete(s.snap.Loaded, o.Model)
		delete(s.sizes, o.Model)
	case engine.OrderLoadAdapter:
		if !slices.Contains(s.snap.Loaded[o.Model], o.Adapter) {
			s.snap.Loaded[o.Model] = append(s.snap.Loaded[o.Model], o.Adapter)
		}
	case engine.OrderUnloadAdapter:
		s.snap.Loaded[o.Model] = slices.DeleteFunc(s.snap.Loaded[o.Model], func(x ident.Adapter) bool { return x == o.Adapter })
	}
}

func (s *configSim) advance(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(100 * time.Millisecond)
		s.observe()
	}
}

func (s *configSim) restart() {
	s.snap.Started++
	s.snap.Accepted, s.orders = 0, nil
	clear(s.snap.Loaded)
	clear(s.sizes)
	s.observe()
}

// restartSidecar replaces the scheduler by a new one, which is told what got no answer.
func (s *configSim) restartSidecar() {
	unanswered := s.scheduler.Unanswered(s.now)
	s.scheduler = New(Options{})
	s.scheduler.RecallUnanswered(s.now, unanswered)
	s.apply(s.scheduler.Configure(s.spec))
	s.scheduler.AllowOrders()
	s.observe()
}

func (s *configSim) usedMB() float64 {
	used := 0.0
	for name, size := range s.sizes {
		used += size + float64(len(s.snap.Loaded[name]))
	}
	return used
}

// maxLate is how late the simulated engine carries out an order.
const maxLate = 12 * time.Second

// release ends all requests up to an id.
func (s *configSim) release(last RequestID) {
	for id := range last {
		s.apply(s.scheduler.Release(s.now, id+1, Outcome{Duration: time.Second}))
	}
}

// carryOut carries out an order that got no answer, if it is still valid.
func (s *configSim) carryOut(i int) {
	o := s.late[i]
	s.late = slices.Delete(s.late, i, i+1)
	if s.now.Sub(o.at) > maxLate || o.order.ExpectedAccepted != s.snap.Accepted || len(s.orders) > 0 {
		return
	}
	if _, loaded := s.snap.Loaded[o.order.Model]; o.order.Kind != engine.OrderLoad && !loaded {
		return
	}
	s.execute(o.order)
}

func (s *configSim) usedSlots() int {
	n := 0
	for _, adapters := range s.snap.Loaded {
		n += len(adapters)
	}
	return n
}
