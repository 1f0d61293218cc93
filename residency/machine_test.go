package residency

import (
	"slices"
	"testing"
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/serving"
)

var start = time.Unix(1000, 0)

// spec is an engine that holds two of its three models.
func spec() *serving.Engine {
	e := &serving.Engine{MemoryMB: 100, AdapterSlots: 2, Concurrency: 16, CacheTokens: 10000, LoadsPerSecond: 1}
	for _, name := range []ident.Model{"a", "b", "c", "d"} {
		e.Models = append(e.Models, serving.Model{
			Name: name, MemoryMB: 45, AdapterMB: 1, Adapters: 5,
			RemoteLoad: 6 * time.Second, DiskLoad: time.Second, MemoryLoad: 500 * time.Millisecond,
		})
	}
	e.Index()
	return e
}

// world is a Machine with an engine that carries out orders at once.
type world struct {
	t       *testing.T
	m       *Scheduler
	now     time.Time
	snap    Snapshot
	granted []RequestID
	refused map[RequestID]*Refuse
	orders  []*Submit
	fetches []*PermitRequest
	// hold keeps orders from being carried out.
	hold bool
}

func newWorld(t *testing.T, loaded ...ident.Model) *world {
	t.Helper()
	w := &world{t: t, m: New(Options{}), now: start, refused: make(map[RequestID]*Refuse)}
	w.snap = Snapshot{Loaded: map[ident.Model][]ident.Adapter{}, Tiers: map[ident.Model]engine.Tier{}}
	for _, name := range loaded {
		w.snap.Loaded[name] = nil
		w.snap.Tiers[name] = engine.TierDisk
	}
	w.m.Configure(spec())
	w.m.AllowOrders()
	w.observe()
	return w
}

func (w *world) observe() {
	s := w.snap
	s.ReadAt = w.now
	s.Loaded = make(map[ident.Model][]ident.Adapter)
	for k, v := range w.snap.Loaded {
		s.Loaded[k] = slices.Clone(v)
	}
	w.do(w.m.Observe(w.now, s))
}

// pass lets time go by with a report every 100 ms.
func (w *world) pass(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(100 * time.Millisecond)
		w.observe()
	}
}

func (w *world) reserve(r Request) {
	if r.MaxWait == 0 {
		r.MaxWait = 5 * time.Second
	}
	w.do(w.m.Reserve(w.now, r))
}

func (w *world) do(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case *Grant:
			w.granted = append(w.granted, a.ID)
		case *Refuse:
			w.refused[a.ID] = a
		case *PermitRequest:
			w.fetches = append(w.fetches, a)
		case *Submit:
			w.orders = append(w.orders, a)
			w.submit(a)
		}
	}
}

func (w *world) submit(a *Submit) {
	if a.ExpectedAccepted != w.snap.Accepted {
		w.t.Fatalf("order %+v after %d accepted", a, w.snap.Accepted)
	}
	w.now = w.now.Add(time.Millisecond)
	if w.hold {
		return
	}
	w.carryOut(a)
	w.m.OrderAnswered(w.now, OrderAccepted)
}

func (w *world) carryOut(a *Submit) {
	w.snap.Accepted++
	switch a.Kind {
	case engine.OrderLoad:
		w.snap.Loaded[a.Model] = nil
		w.snap.Tiers[a.Model] = engine.TierMemory
	case engine.OrderUnload:
		delete(w.snap.Loaded, a.Model)
	case engine.OrderLoadAdapter:
		w.snap.Loaded[a.Model] = append(w.snap.Loaded[a.Model], a.Adapter)
	case engine.OrderUnloadAdapter:
		w.snap.Loaded[a.Model] = slices.DeleteFunc(w.snap.Loaded[a.Model], func(x ident.Adapter) bool { return x == a.Adapter })
	}
	used, adapters := 0.0, 0
	for _, as := range w.snap.Loaded {
		used += 45 + float64(len(as))
		adapters += len(as)
	}
	if used > 100 || adapters > 2 {
		w.t.Fatalf("%.0f MB and %d adapters loaded", used, adapters)
	}
}

func TestLoadedModelIsGrantedAtOnce(t *testing.T) {
	w := newWorld(t, "a")
	w.reserve(Request{ID: 1, Model: "a"})
	if !slices.Equal(w.granted, []RequestID{1}) {
		t.Errorf("granted %v", w.granted)
	}
}

// Rare models in turn: the idle model that is asked for least makes way, the
// busy one stays.
func TestIdleModelMakesWay(t *testing.T) {
	w := newWorld(t, "a", "b")
	w.snap.Tiers["c"] = engine.TierDisk
	w.observe()
	for i := range RequestID(3) {
		w.reserve(Request{ID: 10 + i, Model: "a"})
		w.do(w.m.Release(w.now, 10+i, Outcome{}))
	}
	w.reserve(Request{ID: 1, Model: "c"})
	w.pass(time.Second)
	if !slices.Contains(w.granted, 1) {
		t.Fatalf("not granted; orders %+v", w.orders)
	}
	if _, ok := w.snap.Loaded["a"]; !ok {
		t.Error("the busy model made way")
	}
}

// No model makes way while a request runs on it.
func TestModelInUseStays(t *testing.T) {
	w := newWorld(t, "a", "b")
	w.snap.Tiers["c"] = engine.TierDisk
	w.observe()
	w.reserve(Request{ID: 1, Model: "a"})
	w.reserve(Request{ID: 2, Model: "b"})
	w.reserve(Request{ID: 3, Model: "c", MaxWait: 5 * time.Second})
	w.pass(2 * time.Second)
	if len(w.orders) > 0 {
		t.Errorf("orders while all models are in use: %+v", w.orders[0])
	}
	w.do(w.m.Release(w.now, 2, Outcome{}))
	w.pass(500 * time.Millisecond)
	if !slices.Contains(w.granted, 3) {
		t.Error("not granted once a model was idle")
	}
}

// A model from the weight store is loaded only with a place there.
func TestRemoteLoadNeedsAPlace(t *testing.T) {
	w := newWorld(t, "a")
	w.reserve(Request{ID: 1, Model: "c", MaxWait: 10 * time.Second})
	w.pass(time.Second)
	last := w.fetches[len(w.fetches)-1]
	if len(w.orders) > 0 || last.Model != "c" {
		t.Fatalf("orders %v, fetches %v", w.orders, w.fetches)
	}
	w.do(w.m.PermitDecided(w.now, last.ID, "c", true))
	w.pass(200 * time.Millisecond)
	if !slices.Contains(w.granted, 1) {
		t.Error("not granted after the load")
	}
}

// Requests that can't begin in time are refused at once, with the time to come
// back, and their model is there then.
func TestHopelessRequestIsRefusedAtOnce(t *testing.T) {
	w := newWorld(t, "a", "b")
	w.snap.Tiers["c"] = engine.TierDisk
	w.observe()
	w.reserve(Request{ID: 1, Model: "c", MaxWait: 100 * time.Millisecond})
	r := w.refused[1]
	if r == nil || r.RetryAfter < time.Second {
		t.Fatalf("got %+v", r)
	}
	w.pass(r.RetryAfter + 200*time.Millisecond)
	w.reserve(Request{ID: 2, Model: "c", MaxWait: 100 * time.Millisecond})
	if !slices.Contains(w.granted, 2) {
		t.Error("the model is not there when the caller comes back")
	}
}

// Sustained overload: the queue never exceeds what can begin in time.
func TestQueueIsBoundedByPatience(t *testing.T) {
	w := newWorld(t, "a")
	for id := range RequestID(100) {
		w.reserve(Request{ID: id + 1, Model: "a", MaxWait: 500 * time.Millisecond})
	}
	if len(w.granted) == 0 || len(w.refused) < 80 {
		t.Errorf("granted %d, refused %d", len(w.granted), len(w.refused))
	}
	for _, r := range w.refused {
		if r.Reason != ReasonFull || r.RetryAfter <= 500*time.Millisecond {
			t.Fatalf("got %+v", r)
		}
	}
}

// A queued request must not reach an engine that has begun to leave.
func TestLeavingEngineRefusesThoseThatWait(t *testing.T) {
	w := newWorld(t, "a", "b")
	w.snap.Tiers["c"] = engine.TierDisk
	w.observe()
	w.reserve(Request{ID: 1, Model: "a"})
	w.reserve(Request{ID: 2, Model: "b"})
	w.reserve(Request{ID: 3, Model: "c", MaxWait: 10 * time.Second})
	w.snap.Leaving = true
	w.pass(200 * time.Millisecond)
	if r := w.refused[3]; r == nil || r.Reason != ReasonLeaving {
		t.Errorf("got %+v", r)
	}
	w.do(w.m.Release(w.now, 1, Outcome{}))
	if slices.Contains(w.granted, 3) {
		t.Error("granted by a leaving engine")
	}
}

// Adapters: slots and memory count those on their way, and an unused one makes
// way.
func TestAdapterSlotsAreNeverExceeded(t *testing.T) {
	w := newWorld(t, "a", "b")
	for i, a := range []ident.Adapter{"a1", "a2", "a3", "a4"} {
		id := RequestID(i + 1)
		w.reserve(Request{ID: id, Model: "a", Adapter: a})
		w.pass(300 * time.Millisecond)
		if !slices.Contains(w.granted, id) {
			t.Fatalf("adapter %s not loaded", a)
		}
		w.do(w.m.Release(w.now, id, Outcome{}))
	}
}

func TestArrivingAdaptersTakeSlots(t *testing.T) {
	w := newWorld(t, "a")
	w.snap.LoadingAdapters = []AdapterRef{{"a", "a4"}, {"a", "a5"}}
	w.observe()
	w.reserve(Request{ID: 1, Model: "a", Adapter: "a1"})
	w.pass(300 * time.Millisecond)
	if len(w.orders) > 0 {
		t.Errorf("ordered %+v with no slot left", w.orders[0])
	}
}

// An order without an answer may be carried out later. The next one names the
// same count of accepted orders, so that only one of them can be.
func TestOrderAfterALostOneKeepsItsPrecondition(t *testing.T) {
	w := newWorld(t, "a")
	w.snap.Tiers["c"], w.snap.Tiers["d"] = engine.TierDisk, engine.TierDisk
	w.observe()
	w.hold = true
	w.reserve(Request{ID: 1, Model: "c", MaxWait: 10 * time.Second})
	lost := w.orders[0]
	w.m.OrderAnswered(w.now, OrderUnanswered)
	w.hold = false
	w.pass(300 * time.Millisecond)
	if len(w.orders) < 2 || w.orders[1].ExpectedAccepted != lost.ExpectedAccepted {
		t.Fatalf("orders %+v", w.orders)
	}
	if w.snap.Accepted == lost.ExpectedAccepted {
		t.Error("no order was accepted, the lost one may still run")
	}
}

func TestRestartedEngineIsSeenEmpty(t *testing.T) {
	w := newWorld(t, "a", "b")
	w.snap = Snapshot{Started: 5, Loaded: map[ident.Model][]ident.Adapter{}, Tiers: map[ident.Model]engine.Tier{"a": engine.TierDisk}}
	w.observe()
	w.reserve(Request{ID: 1, Model: "a"})
	w.pass(300 * time.Millisecond)
	if len(w.orders) == 0 || w.orders[0].Kind != engine.OrderLoad || w.orders[0].ExpectedAccepted != 0 {
		t.Errorf("orders %+v", w.orders)
	}
}

func TestNothingIsOrderedBeforeOrdersAreAllowed(t *testing.T) {
	m := New(Options{})
	m.Configure(spec())
	s := Snapshot{ReadAt: start, Loaded: map[ident.Model][]ident.Adapter{}, Tiers: map[ident.Model]engine.Tier{"a": engine.TierDisk}}
	m.Observe(start, s)
	for _, a := range m.Reserve(start, Request{ID: 1, Model: "a", MaxWait: 5 * time.Second}) {
		if _, ok := a.(*Submit); ok {
			t.Error("ordered")
		}
	}
}

// Late answers lower the limit, down to where the engine stays in use; good ones
// at the limit raise it.
func TestLimitFollowsDelays(t *testing.T) {
	l := limit{value: 20, least: 4, most: 100}
	r := &Request{Objective: time.Second, MaxEventGap: 300 * time.Millisecond}
	now := start
	for range 20 {
		now = now.Add(time.Second)
		l.learn(now, r, Outcome{TimeToFirstEvent: 100 * time.Millisecond, LongestEventGap: 310 * time.Millisecond}, 20)
	}
	if l.value >= 10 || l.value < 4 {
		t.Errorf("limit %v after many late answers", l.value)
	}
	before := l.value
	l.learn(now.Add(time.Second), r, Outcome{TimeToFirstEvent: 900 * time.Millisecond, LongestEventGap: 290 * time.Millisecond}, int(before))
	if l.value < before {
		t.Error("an answer in time lowered the limit")
	}
	for range 100 {
		l.learn(now, r, Outcome{TimeToFirstEvent: 100 * time.Millisecond, LongestEventGap: 50 * time.Millisecond}, int(l.value))
	}
	if l.value <= 20 {
		t.Errorf("limit %v after many good answers", l.value)
	}
}

// An engine that is down answers no order; it is not asked in a tight loop.
func TestOrdersPauseAfterOneWithoutAnswer(t *testing.T) {
	w := newWorld(t, "a")
	w.snap.Tiers["c"] = engine.TierDisk
	w.observe()
	w.hold = true
	w.reserve(Request{ID: 1, Model: "c", MaxWait: 10 * time.Second})
	for range 100 {
		w.m.OrderAnswered(w.now, OrderUnanswered)
		w.do(w.m.Tick(w.now))
	}
	if n := len(w.orders); n > 3 {
		t.Errorf("%d orders within %v", n, w.now.Sub(start))
	}
}

// Mixed load: a request that is due soon comes before rare models that are due
// later, and is not refused because of them.
func TestRequestDueFirstIsNotRefusedForOthers(t *testing.T) {
	w := newWorld(t, "a")
	w.snap.Tiers["c"], w.snap.Tiers["d"] = engine.TierDisk, engine.TierDisk
	w.observe()
	w.snap.Busy = true
	w.observe()
	w.reserve(Request{ID: 1, Model: "c", MaxWait: 10 * time.Second, Objective: 4 * time.Second})
	w.reserve(Request{ID: 2, Model: "d", MaxWait: 1500 * time.Millisecond, Objective: 600 * time.Millisecond})
	if w.refused[2] != nil {
		t.Errorf("got %+v", w.refused[2])
	}
}

// Many rare models at once: requests that wait for loads take no place from those
// whose model is loaded.
func TestWaitingForLoadsFillsNoPlaces(t *testing.T) {
	w := newWorld(t, "a", "b")
	w.m.limit.value = 4
	w.snap.Tiers["c"], w.snap.Tiers["d"] = engine.TierDisk, engine.TierDisk
	w.snap.Busy = true
	w.observe()
	for id := range RequestID(10) {
		w.reserve(Request{ID: 10 + id, Model: "c", MaxWait: 30 * time.Second, Objective: 4 * time.Second})
	}
	w.reserve(Request{ID: 1, Model: "a", MaxWait: 300 * time.Millisecond})
	if !slices.Contains(w.granted, 1) {
		t.Errorf("not granted: %+v", w.refused[1])
	}
}

// What routers are told of the wait for a swap must not include loads that no
// request waits for, or they send rare models to worse VMs and refuse them.
func TestSwapWaitLeavesOutModelsNobodyWaitsFor(t *testing.T) {
	w := newWorld(t, "a", "b")
	w.snap.Tiers["c"], w.snap.Tiers["d"] = engine.TierDisk, engine.TierDisk
	w.snap.Busy = true
	w.observe()
	idle := w.m.Status(w.now).SwapWait
	for id, model := range []ident.Model{"c", "d"} {
		w.reserve(Request{ID: RequestID(id + 1), Model: model, MaxWait: time.Millisecond})
	}
	if got := w.m.Status(w.now).SwapWait; got != idle {
		t.Errorf("%v with refused requests, %v without", got, idle)
	}
	w.reserve(Request{ID: 9, Model: "c", MaxWait: 10 * time.Second})
	if got := w.m.Status(w.now).SwapWait; got < idle+time.Second || got > idle+1500*time.Millisecond {
		t.Errorf("%v behind one swap of a second, %v without", got, idle)
	}
}

// A model whose weights are nowhere at hand is the last to make way: it would
// have to come from the weight store again.
func TestModelWithoutACopyStays(t *testing.T) {
	w := newWorld(t, "a", "b")
	delete(w.snap.Tiers, "a")
	w.snap.Tiers["c"] = engine.TierDisk
	w.observe()
	w.reserve(Request{ID: 10, Model: "b"})
	w.do(w.m.Release(w.now, 10, Outcome{}))
	w.reserve(Request{ID: 1, Model: "c"})
	w.pass(time.Second)
	if _, ok := w.snap.Loaded["a"]; !ok || !slices.Contains(w.granted, 1) {
		t.Errorf("loaded %v, granted %v", w.snap.Loaded, w.granted)
	}
}

// Demand that moves to a model that is not here: once it has its place at the
// weight store it is loaded next, even if every loaded model is in use, as long
// as one of them is asked for much less.
func TestPressedModelTakesItsPlaceAtOnce(t *testing.T) {
	w := newWorld(t, "a", "b")
	w.reserve(Request{ID: 1, Model: "a"})
	w.reserve(Request{ID: 2, Model: "b"})
	for id := range RequestID(20) {
		w.reserve(Request{ID: 10 + id, Model: "c", MaxWait: time.Second})
		w.pass(100 * time.Millisecond)
	}
	if len(w.fetches) == 0 || w.fetches[len(w.fetches)-1].Model != "c" {
		t.Fatalf("fetches %+v", w.fetches)
	}
	w.do(w.m.PermitDecided(w.now, w.fetches[len(w.fetches)-1].ID, "c", true))
	w.pass(300 * time.Millisecond)
	if _, ok := w.snap.Loaded["c"]; !ok {
		t.Errorf("loaded %v", w.snap.Loaded)
	}
}

// Demand that moves to a model without a copy anywhere while rare models keep the
// engine busy with swaps: with its place at the weight store it comes before the
// next swap, since many requests are served by it and one by the swap.
func TestPressedModelComesBeforeSwapsForRareOnes(t *testing.T) {
	w := newWorld(t, "a", "b")
	w.snap.Tiers["d"] = engine.TierDisk
	w.reserve(Request{ID: 1, Model: "a"})
	w.reserve(Request{ID: 2, Model: "b"})
	for id := range RequestID(20) {
		w.reserve(Request{ID: 10 + id, Model: "c", MaxWait: time.Second})
		w.pass(100 * time.Millisecond)
	}
	w.reserve(Request{ID: 3, Model: "d", MaxWait: 5 * time.Second})
	w.reserve(Request{ID: 4, Model: "c", MaxWait: 20 * time.Second})
	w.do(w.m.PermitDecided(w.now, w.fetches[len(w.fetches)-1].ID, "c", true))
	w.pass(time.Second)
	i := slices.IndexFunc(w.orders, func(s *Submit) bool { return s.Kind == engine.OrderLoad })
	if i < 0 || w.orders[i].Model != "c" {
		t.Errorf("orders %+v", w.orders)
	}
}

// A request for a model at the weight store is not held up by an earlier question
// for anything that is worth loading.
func TestQuestionForAnythingGivesWayToARequest(t *testing.T) {
	w := newWorld(t, "a")
	w.pass(time.Second)
	if len(w.fetches) != 1 || w.fetches[0].Model != "" {
		t.Fatalf("fetches %+v", w.fetches)
	}
	w.reserve(Request{ID: 1, Model: "c", MaxWait: 10 * time.Second})
	if len(w.fetches) != 2 || w.fetches[1].Model != "c" {
		t.Fatalf("fetches %+v", w.fetches)
	}
	if actions := w.m.PermitDecided(w.now, w.fetches[0].ID, "d", true); len(actions) > 0 || w.m.PermitRequestOpen(w.fetches[0].ID) {
		t.Error("the answer to the earlier question was used")
	}
	w.do(w.m.PermitDecided(w.now, w.fetches[1].ID, "c", true))
	w.pass(300 * time.Millisecond)
	if !slices.Contains(w.granted, 1) {
		t.Error("not granted")
	}
}

// One late answer while few requests run was slow for another reason, such as the
// load of an adapter; an engine that was lowered for it refused what it could serve.
func TestLateAnswerOfFewRequestsLeavesTheLimit(t *testing.T) {
	l := limit{value: 32, least: 8, most: 128}
	r := &Request{Objective: time.Second, MaxEventGap: 300 * time.Millisecond}
	late := Outcome{TimeToFirstEvent: 100 * time.Millisecond, LongestEventGap: 400 * time.Millisecond}
	l.learn(start.Add(time.Second), r, late, 3)
	if l.value != 32 {
		t.Errorf("limit %v after a late answer beside 3 requests", l.value)
	}
	l.learn(start.Add(2*time.Second), r, late, 30)
	if l.value >= 32 {
		t.Error("not lowered by a late answer beside 30 requests")
	}
}
