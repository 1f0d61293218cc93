package quarantine

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/laureltally/laureltally/fleet"
	"github.com/laureltally/laureltally/ident"
)

// repeatSimulation plays routers and servers without sidecars in steps of 10 ms. One request
// crashes the servers that run it; a popular one and many that differ are sound.
type repeatSimulation struct {
	r       *rand.Rand
	routers []*Detector
	servers []*simulatedServer
	news    []delayedNews
	nextID  uint64
	// crashesAt holds when servers crashed under the crashing request, tries when servers
	// got it.
	crashesAt, tries []time.Time
	// refused and sent count the popular request.
	refused, sent int
	// told is what sidecars remember. Routers start anew at the interval restarts, if it is
	// not zero.
	told     Findings
	restarts time.Duration
	// soundBefore makes the crashing request come before too, when it is still answered.
	soundBefore bool
	crashing    bool
}

type simulatedServer struct {
	address   string
	started   int64
	downUntil time.Time
	runs      []simulatedRun
}

const (
	serverDowntime  = 3 * time.Second
	serverRunTime   = 40 * time.Millisecond
	serverCrashTime = 60 * time.Millisecond
	// maxNewsDelay is more than what news take from one router to another.
	maxNewsDelay = 300 * time.Millisecond
)

var crashingRequest, popularRequest = request(1), request(2)

func newRepeatSimulation(seed uint64, routers, servers int) *repeatSimulation {
	f := &repeatSimulation{r: rand.New(rand.NewPCG(seed, 2)), nextID: 100}
	for i := range routers {
		f.routers = append(f.routers, NewDetector(start, Options{Stagger: StaggerOf(ident.VM(fmt.Sprint("router-", i)))}))
	}
	for i := range servers {
		f.servers = append(f.servers, &simulatedServer{address: fmt.Sprint("server-", i), started: 1})
	}
	return f
}

// send sends a request to a random server that is up, and reports whether its router holds it
// back.
func (f *repeatSimulation) send(now time.Time, trait ident.Trait) (held bool) {
	router := f.r.IntN(len(f.routers))
	if _, remaining := f.routers[router].Held(now, parts(trait)); remaining > 0 {
		return true
	}
	first := f.r.IntN(len(f.servers))
	for i := range f.servers {
		s := f.servers[(first+i)%len(f.servers)]
		if now.Before(s.downUntil) {
			continue
		}
		run := simulatedRun{router: router, parts: parts(trait), begunAt: now, endsAt: now.Add(serverRunTime)}
		if trait == crashingRequest && f.crashing {
			run.endsAt = now.Add(serverCrashTime)
			f.tries = append(f.tries, now)
		}
		s.runs = append(s.runs, run)
		return false
	}
	return false
}

// crash ends a server. Each router that had requests there tells of them.
func (f *repeatSimulation) crash(now time.Time, s *simulatedServer) {
	if now.Before(s.downUntil) {
		return
	}
	lost := make(map[int][]ident.Trait)
	for _, run := range s.runs {
		lost[run.router] = append(lost[run.router], run.parts...)
	}
	for _, router := range slices.Sorted(maps.Keys(lost)) {
		traits := lost[router]
		f.tell(now, router, News{Crashes: []Crash{{Server: fleet.ServerStart{Address: s.address, Started: s.started}, At: now, Traits: traits}}})
	}
	s.runs, s.downUntil = nil, now.Add(serverDowntime)
	s.started++
}

// tell passes what a router has found on to all others.
func (f *repeatSimulation) tell(now time.Time, from int, n News) {
	if n.Empty() {
		return
	}
	f.receive(now, from, n)
	for _, c := range n.Crashes {
		f.told.AddCrash(now, c)
	}
	for _, s := range n.Sound {
		f.told.AddSound(now, s)
	}
	for _, h := range n.Holds {
		f.told.AddHold(now, h)
	}
	for i := range f.routers {
		if i != from {
			f.news = append(f.news, f.delayed(now, i, n))
		}
	}
}

func (f *repeatSimulation) receive(now time.Time, router int, n News) {
	d := f.routers[router]
	for _, s := range n.Sound {
		d.ObserveSound(s)
	}
	for _, h := range n.Holds {
		d.ObserveHold(now, h)
	}
	for _, c := range n.Crashes {
		if sound := d.SoundSince(c); !d.Knows(c.Server) && len(sound) > 0 {
			f.tell(now, router, News{Sound: sound})
		}
		if holds := d.ObserveCrash(now, c); len(holds) > 0 {
			f.tell(now, router, News{Holds: holds})
		}
	}
}

// restartRouters starts all routers anew. Each hears what sidecars remember a moment later.
func (f *repeatSimulation) restartRouters(now time.Time) {
	f.news = nil
	for i := range f.routers {
		f.routers[i] = NewDetector(now, Options{Stagger: StaggerOf(ident.VM(fmt.Sprint("router-", i)))})
		known := f.told.Since(now, 0)
		// Each finding is remembered by another sidecar.
		for _, s := range known.Sound {
			f.news = append(f.news, f.delayed(now, i, News{Sound: []Sound{s}}))
		}
		for _, c := range known.Crashes {
			f.news = append(f.news, f.delayed(now, i, News{Crashes: []Crash{c}}))
		}
		for _, h := range known.Holds {
			// It has been stored, and is read before the router serves.
			if !h.Tentative() {
				f.routers[i].ObserveHold(now, h)
			}
			f.news = append(f.news, f.delayed(now, i, News{Holds: []Hold{h}}))
		}
	}
}

func (f *repeatSimulation) delayed(now time.Time, router int, n News) delayedNews {
	return delayedNews{now.Add(time.Duration(f.r.Int64N(int64(maxNewsDelay)))), router, n}
}

func (f *repeatSimulation) step(now time.Time) {
	for i, d := range f.routers {
		if now.Equal(d.DecideAt().Truncate(10 * time.Millisecond).Add(10 * time.Millisecond)) {
			f.tell(now, i, News{Holds: d.Decide(now)})
		}
	}
	due := f.news
	f.news = nil
	for _, n := range due {
		if now.Before(n.at) {
			f.news = append(f.news, n)
		} else {
			f.receive(now, n.router, n.news)
		}
	}
	for _, s := range f.servers {
		runs := s.runs
		s.runs = nil
		for i, run := range runs {
			switch {
			case now.Before(run.endsAt):
				s.runs = append(s.runs, run)
			case run.parts[0] == crashingRequest && run.endsAt.Sub(run.begunAt) == serverCrashTime:
				s.runs = append(s.runs, runs[i:]...)
				f.crash(now, s)
				f.crashesAt = append(f.crashesAt, now)
			default:
				f.tell(now, run.router, News{Sound: f.routers[run.router].ObserveAnswer(now, run.parts, run.endsAt)})
			}
			if now.Before(s.downUntil) {
				break
			}
		}
	}
}

// run plays a minute. Repeats of the crashing request come from its fifth second on; all
// servers lose power in its thirtieth, and single ones crash for other reasons.
func (f *repeatSimulation) run(perSecond, repeats, otherCrashesPerSecond float64) {
	for ms := 0; ms < 60000; ms += 10 {
		now := at(ms)
		if f.restarts > 0 && ms%int(f.restarts.Milliseconds()) == 0 {
			f.restartRouters(now)
		}
		f.step(now)
		for range poisson(f.r, perSecond/100) {
			f.nextID++
			f.send(now, request(f.nextID))
		}
		for range poisson(f.r, perSecond/200) {
			f.sent++
			if f.send(now, popularRequest) {
				f.refused++
			}
		}
		if f.crashing = ms >= 5000; !f.crashing && f.soundBefore {
			for range poisson(f.r, repeats/100) {
				f.send(now, crashingRequest)
			}
		}
		if f.crashing {
			for range poisson(f.r, repeats/100) {
				f.send(now, crashingRequest)
			}
			for range poisson(f.r, otherCrashesPerSecond/100) {
				f.crash(now, f.servers[f.r.IntN(len(f.servers))])
			}
		}
		if ms == 30000 {
			for _, s := range f.servers {
				f.crash(now, s)
			}
		}
	}
}

// late counts the tries that reached servers later than four seconds after the third crash.
func (f *repeatSimulation) late() int {
	if len(f.crashesAt) < 3 {
		return 0
	}
	n := 0
	for _, at := range f.tries {
		if at.After(f.crashesAt[2].Add(4 * time.Second)) {
			n++
		}
	}
	return n
}

// checkLate checks that hardly any try of the crashing request was sent late.
func (f *repeatSimulation) checkLate(t *testing.T, played any, seed uint64) {
	t.Helper()
	if late := f.late(); late > 3 {
		t.Errorf("%+v, seed %d: sent late %d times, %d crashes under it", played, seed, late, len(f.crashesAt))
	}
}

// checkPopular checks that the popular request was hardly held back.
func (f *repeatSimulation) checkPopular(t *testing.T, played any, seed uint64) {
	t.Helper()
	if f.refused*20 > f.sent {
		t.Errorf("%+v, seed %d: the popular request was held back %d times of %d", played, seed, f.refused, f.sent)
	}
}

// Rule BUDGET: whatever the number of routers and servers and the pace of repeats, hardly any
// of them is sent late, and a popular request is hardly held back.
func TestFleetLearnsTheCrashingRequest(t *testing.T) {
	for _, tt := range []struct {
		routers, servers              int
		perSecond, repeats, otherwise float64
	}{
		{4, 3, 12, 1, 0}, {4, 3, 12, 0.3, 0}, {4, 3, 12, 4, 0}, {4, 2, 12, 2, 0}, {4, 3, 40, 1, 0.1},
		{10, 3, 30, 10, 0}, {30, 6, 100, 2, 0.1}, {68, 12, 200, 5, 0.2},
	} {
		for seed := range uint64(8) {
			f := newRepeatSimulation(seed, tt.routers, tt.servers)
			f.run(tt.perSecond, tt.repeats, tt.otherwise)
			f.checkLate(t, tt, seed)
			f.checkPopular(t, tt, seed)
		}
	}
}

// Servers that only crash for other reasons make nobody be held back for long.
func TestFleetHoldsNoRequestBackWithoutACrashingOne(t *testing.T) {
	for _, tt := range []struct {
		routers, servers     int
		perSecond, otherwise float64
	}{{4, 3, 12, 0.3}, {10, 3, 60, 0.5}, {68, 12, 200, 1}} {
		for seed := range uint64(8) {
			f := newRepeatSimulation(seed, tt.routers, tt.servers)
			f.run(tt.perSecond, 0, tt.otherwise)
			f.checkPopular(t, tt, seed)
		}
	}
}

// All routers restart again and again, before they have met enough crashes themselves. The request
// crashes a server in each of their lives otherwise.
func TestFleetLearnsTheCrashingRequestWhileRoutersRestart(t *testing.T) {
	for _, tt := range []struct {
		routers, servers              int
		perSecond, repeats, otherwise float64
		restarts                      time.Duration
	}{
		{4, 3, 12, 0.3, 0, 3800 * time.Millisecond}, {4, 3, 12, 1, 0, 3800 * time.Millisecond},
		{10, 6, 30, 1, 0, 2 * time.Second}, {30, 6, 100, 2, 0.1, 5 * time.Second},
	} {
		for seed := range uint64(8) {
			f := newRepeatSimulation(seed, tt.routers, tt.servers)
			f.restarts = tt.restarts
			f.run(tt.perSecond, tt.repeats, tt.otherwise)
			f.checkLate(t, tt, seed)
			f.checkPopular(t, tt, seed)
		}
	}
}

// Routers that restart beside servers that crash for other reasons hold nobody back for long.
func TestFleetThatRestartsHoldsNoRequestBack(t *testing.T) {
	for seed := range uint64(8) {
		f := newRepeatSimulation(seed, 10, 3)
		f.restarts = 5 * time.Second
		f.run(60, 0, 0.5)
		f.checkPopular(t, f.restarts, seed)
	}
}

// A request that was answered until now begins to crash servers, as its content meets another
// version of the model.
func TestFleetLearnsARequestThatWasSoundBefore(t *testing.T) {
	for _, tt := range []struct {
		routers, servers              int
		perSecond, repeats, otherwise float64
	}{{4, 3, 12, 1, 0}, {4, 3, 12, 4, 0}, {10, 6, 30, 2, 0.1}, {30, 6, 100, 2, 0.1}} {
		for seed := range uint64(8) {
			f := newRepeatSimulation(seed, tt.routers, tt.servers)
			f.soundBefore = true
			f.run(tt.perSecond, tt.repeats, tt.otherwise)
			f.checkLate(t, tt, seed)
			if len(f.crashesAt) > 3+3 {
				t.Errorf("%+v, seed %d: %d crashes under it", tt, seed, len(f.crashesAt))
			}
		}
	}
}
