package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/laureltally/laureltally/ident"
)

// simulation plays routers and engines in steps of a tenth of a second. Requests begin with
// one of a few first parts, which all routers see often, and have one of many second parts.
type simulation struct {
	r         *rand.Rand
	routers   []*Detector
	engines   []*Observer
	running   [][]simulatedRun
	downUntil []time.Time
	starts    []int64
	nextID    uint64
	crashes   int
	// held holds the parts that were ever quarantined.
	held map[ident.Trait]bool
	news []delayedNews
}

type simulatedRun struct {
	id        uint64
	router    int
	parts     []ident.Trait
	begunAt   time.Time
	endsAt    time.Time
	soundTold bool
}

type delayedNews struct {
	at     time.Time
	router int
	news   News
}

const (
	firstParts  = 3
	secondParts = 80
	badPart     = 9999
)

func newSimulation(seed uint64, routers, engines int) *simulation {
	f := &simulation{r: rand.New(rand.NewPCG(seed, 1)), running: make([][]simulatedRun, engines), downUntil: make([]time.Time, engines), starts: make([]int64, engines), held: make(map[ident.Trait]bool)}
	for range routers {
		f.routers = append(f.routers, NewDetector(start, Options{}))
	}
	for i := range engines {
		o := NewObserver(fmt.Sprint("engine-", i))
		f.starts[i] = 1
		o.EngineUp(start, 1, false)
		f.engines = append(f.engines, o)
	}
	return f
}

// send sends a request to a random engine if the router does not hold it back.
func (f *simulation) send(now time.Time, p []ident.Trait) (sent bool) {
	router, e := f.r.IntN(len(f.routers)), f.r.IntN(len(f.engines))
	if _, remaining := f.routers[router].Held(now, p); remaining > 0 || now.Before(f.downUntil[e]) {
		return false
	}
	f.nextID++
	f.engines[e].RequestStarted(now, f.nextID, p)
	f.running[e] = append(f.running[e], simulatedRun{id: f.nextID, router: router, parts: p, begunAt: now, endsAt: now.Add(time.Duration(1+f.r.ExpFloat64()*2) * time.Second)})
	if slices.Contains(p, badPart) {
		f.crash(now.Add(50*time.Millisecond), e)
	}
	return true
}

func (f *simulation) crash(now time.Time, e int) {
	if now.Before(f.downUntil[e]) {
		return
	}
	f.crashes++
	f.downUntil[e] = now.Add(3 * time.Second)
	f.engines[e].EngineLost(now)
	for _, run := range f.running[e] {
		f.engines[e].RequestEnded(now, run.id, Ending{Streamed: now.Sub(run.begunAt)})
	}
	f.running[e] = nil
}

// step ends requests, and passes news on.
func (f *simulation) step(now time.Time) {
	for e, o := range f.engines {
		if !f.downUntil[e].IsZero() && !now.Before(f.downUntil[e]) {
			f.downUntil[e] = time.Time{}
			f.starts[e]++
			o.EngineUp(now, f.starts[e], false)
		}
		f.running[e] = slices.DeleteFunc(f.running[e], func(run simulatedRun) bool {
			if now.Before(run.endsAt) {
				return false
			}
			o.RequestEnded(now, run.id, Ending{Complete: true})
			return true
		})
		for i := range f.running[e] {
			run := &f.running[e][i]
			if run.soundTold || now.Sub(run.begunAt) < SoundAfter {
				continue
			}
			run.soundTold = true
			f.tell(now, News{Sound: f.routers[run.router].ObserveAnswer(now, run.parts, run.begunAt)})
		}
		if c := o.Crash(now); c != nil {
			f.tell(now, News{Crashes: []Crash{*c}})
		}
	}
	f.news = slices.DeleteFunc(f.news, func(d delayedNews) bool {
		if now.Before(d.at) {
			return false
		}
		f.receive(now, d.router, d.news)
		return true
	})
}

func (f *simulation) receive(now time.Time, router int, n News) {
	d := f.routers[router]
	for _, s := range n.Sound {
		d.ObserveSound(s)
	}
	for _, h := range n.Holds {
		d.ObserveHold(now, h)
	}
	for _, c := range n.Crashes {
		for _, h := range d.ObserveCrash(now, c) {
			f.held[h.Trait] = true
			f.tell(now, News{Holds: []Hold{h}})
		}
	}
}

// tell sends news to all routers, which get it within a second.
func (f *simulation) tell(now time.Time, n News) {
	if n.Empty() {
		return
	}
	for i := range f.routers {
		f.news = append(f.news, delayedNews{now.Add(time.Duration(f.r.IntN(1000)) * time.Millisecond), i, n})
	}
}

// request returns the parts of a sound request.
func (f *simulation) request() []ident.Trait {
	return parts(ident.Trait(f.r.IntN(firstParts)), ident.Trait(100+min(f.r.IntN(secondParts), f.r.IntN(secondParts))))
}

// run plays a minute and returns how many requests with the bad part were sent from four
// seconds after the fifth crash on.
func (f *simulation) run(perSecond, badPerSecond, otherCrashesPerSecond float64) (late int) {
	var counted time.Time
	for ms := 0; ms < 60000; ms += 100 {
		now := at(ms)
		f.step(now)
		for range poisson(f.r, perSecond/10) {
			f.send(now, f.request())
		}
		if ms >= 5000 {
			for range poisson(f.r, badPerSecond/10) {
				if f.send(now, parts(ident.Trait(f.r.IntN(firstParts)), badPart)) && !counted.IsZero() && now.After(counted) {
					late++
				}
			}
			for range poisson(f.r, otherCrashesPerSecond/10) {
				f.crash(now, f.r.IntN(len(f.engines)))
			}
		}
		if counted.IsZero() && f.crashes >= 5 {
			counted = now.Add(4 * time.Second)
		}
	}
	return late
}

func poisson(r *rand.Rand, mean float64) int {
	n := 0
	for p := r.ExpFloat64(); p < mean; p += r.ExpFloat64() {
		n++
	}
	return n
}

// Rule BUDGET: whatever the size of the fleet and the rates of requests, hardly any request
// with the bad part is sent late. Engines also crash for other reasons meanwhile.
func TestFleetLearnsTheBadPart(t *testing.T) {
	for _, tt := range []struct {
		routers, engines          int
		perSecond, bad, otherwise float64
	}{
		{4, 12, 40, 1, 0}, {4, 12, 40, 1, 0.3}, {4, 12, 40, 0.2, 0.3}, {4, 12, 40, 4, 0}, {3, 3, 5, 0.5, 0.1},
		{30, 60, 200, 1, 0.2}, {30, 60, 200, 10, 0.5}, {100, 100, 300, 2, 0.5},
	} {
		for seed := range uint64(6) {
			f := newSimulation(seed, tt.routers, tt.engines)
			if late := f.run(tt.perSecond, tt.bad, tt.otherwise); late > 3 {
				t.Errorf("%+v, seed %d: %d requests with the bad part sent late, %d crashes", tt, seed, late, f.crashes)
			}
			delete(f.held, badPart)
			if len(f.held) > 0 {
				t.Errorf("%+v, seed %d: sound parts quarantined: %v, %d crashes", tt, seed, f.held, f.crashes)
			}
		}
	}
}

// Without a bad part, crashes of engines quarantine nothing.
func TestFleetHoldsNothingBackWithoutABadPart(t *testing.T) {
	for _, tt := range []struct {
		routers, engines     int
		perSecond, otherwise float64
	}{{4, 12, 40, 0.5}, {3, 3, 5, 0.3}, {30, 60, 200, 1}, {100, 100, 300, 1}} {
		for seed := range uint64(6) {
			f := newSimulation(seed, tt.routers, tt.engines)
			f.run(tt.perSecond, 0, tt.otherwise)
			if len(f.held) > 0 {
				t.Errorf("%+v, seed %d: sound parts quarantined: %v, %d crashes", tt, seed, f.held, f.crashes)
			}
		}
	}
}
