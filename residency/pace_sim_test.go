package residency

import (
	"fmt"
	"hash"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/routing"
	"github.com/laureltally/laureltally/serving"
)

// The simulated installation: engines of uneven speed, and routers that pack requests as the
// ingress does.
const (
	simStep          = time.Millisecond
	simPrefillRate   = 22.1
	simChunk         = 2048
	simTokensAnEvent = 4
	simSlowFactor    = 2.5
	simSlowPhase     = 600 * time.Millisecond
	simSlowShare     = 0.15
	simRouters       = 4
	simLong          = 4000
	simObjective     = 800 * time.Millisecond
	simWarmUp        = 5 * time.Second
	simTime          = 45 * time.Second
	simGap           = 300 * time.Millisecond
)

type simRun struct {
	model   ident.Model
	router  int
	tried   []ident.VM
	arrived time.Time
	sent    time.Time
	prompt  int
	shared  int
	// prefill and tokens are what remains to be prefilled and generated.
	prefill, tokens int
	events          int
	last            time.Time
	first, longest  time.Duration
	requestID       RequestID
	decodes         bool
}

type simEngine struct {
	vm        ident.VM
	speed     float64
	slowUntil time.Time
	scheduler *Scheduler
	models    map[ident.Model][]ident.Adapter
	runs      []*simRun
	// left is the work that is left of the current step, in milliseconds at usual speed.
	left   float64
	busy   bool
	readAt time.Time
	done   []*simRun
}

type simulation struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Time
	stated  bool
	engines []*simEngine
	tables  []*routing.Table
	asked   map[RequestID]*simRun
	nextID  RequestID
	seq     uint64
	refused int
	// longAsked is the number of requests with prompts of simLong tokens and more.
	longAsked int
	// decisions is the hash of all decisions.
	decisions hash.Hash64
}

func newSimulation(t *testing.T, stated bool, seed uint64) *simulation {
	s := &simulation{t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: start, stated: stated, asked: map[RequestID]*simRun{}, decisions: fnv.New64a()}
	spec := &serving.Engine{MemoryMB: 100, Concurrency: 64, CacheTokens: 400000, LoadsPerSecond: 1}
	for i := range 6 {
		spec.Models = append(spec.Models, serving.Model{Name: ident.Model(fmt.Sprint("m", i)), MemoryMB: 45})
	}
	spec.Index()
	for i := range 12 {
		e := &simEngine{vm: ident.VM(strconv.Itoa(i)), speed: []float64{0.6, 1, 1.6}[i%3], scheduler: New(Options{}), models: map[ident.Model][]ident.Adapter{}}
		e.models[spec.Models[i%6].Name], e.models[spec.Models[(i+1+i/6)%6].Name] = nil, nil
		e.scheduler.Configure(spec)
		s.engines = append(s.engines, e)
	}
	for i := range simRouters {
		chooser, err := routing.New(routing.Options{Rand: rand.New(rand.NewPCG(seed, uint64(i))), FreeShare: 0.6})
		if err != nil {
			t.Fatal(err)
		}
		s.tables = append(s.tables, routing.NewTable(chooser))
	}
	return s
}

func (e *simEngine) slowness(now time.Time) float64 {
	if now.Before(e.slowUntil) {
		return simSlowFactor
	}
	return 1
}

// advance runs the engine for one step of the clock.
func (s *simulation) advance(e *simEngine) {
	if !s.now.Before(e.slowUntil) && s.rng.Float64() < simSlowShare/(1-simSlowShare)*float64(simStep)/float64(simSlowPhase) {
		e.slowUntil = s.now.Add(simSlowPhase)
	}
	e.left -= e.speed / e.slowness(s.now)
	for e.left <= 0 && len(e.runs) > 0 {
		if e.busy {
			s.endStep(e)
		}
		chunk, decoding := simChunk, 0
		for _, r := range e.runs {
			if r.decodes = r.prefill == 0; r.decodes {
				decoding++
			}
			part := min(chunk, r.prefill)
			chunk -= part
			r.prefill -= part
		}
		e.busy = len(e.runs) > 0
		e.left += 6.8 + 0.034*float64(decoding) + float64(simChunk-chunk)/simPrefillRate
	}
	if len(e.runs) == 0 {
		e.left, e.busy = 0, false
	}
}

func (s *simulation) endStep(e *simEngine) {
	var ended []*simRun
	for _, r := range e.runs {
		if !r.decodes {
			continue
		}
		r.tokens--
		if r.tokens%simTokensAnEvent == 0 {
			if r.events == 0 {
				r.first = s.now.Sub(r.sent)
			} else {
				r.longest = max(r.longest, s.now.Sub(r.last))
			}
			r.last = s.now
			r.events++
		}
		if r.tokens == 0 {
			ended = append(ended, r)
		}
	}
	e.runs = slices.DeleteFunc(e.runs, func(r *simRun) bool { return r.tokens == 0 })
	for _, r := range ended {
		e.done = append(e.done, r)
		o := Outcome{TimeToFirstEvent: r.first + 2*time.Millisecond, LongestEventGap: r.longest, Duration: s.now.Sub(r.sent)}
		if s.stated {
			o.Slowness = 1
		}
		s.tables[r.router].RequestEnded(s.now, e.vm, routing.Target{Upstream: "u", Model: r.model}, 0, o.Duration)
		s.perform(e, e.scheduler.Release(s.now, r.requestID, o))
	}
}

func (s *simulation) report(e *simEngine, router int) {
	r := e.scheduler.Status(s.now)
	s.seq++
	r.VM, r.Upstream, r.Region, r.Role, r.Incarnation, r.Seq = e.vm, "u", "r1", metastore.RoleAgent, 1, s.seq
	s.tables[router].Report(s.now, r, 0)
}

func (s *simulation) perform(e *simEngine, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case *Grant:
			fmt.Fprint(s.decisions, "g", a.ID, s.now.UnixMilli())
			r := s.asked[a.ID]
			delete(s.asked, a.ID)
			r.sent, r.prefill = s.now, r.prompt
			e.runs = append(e.runs, r)
			s.tables[r.router].RequestStarted(s.now, e.vm, 0)
		case *Refuse:
			fmt.Fprint(s.decisions, "r", a.ID, s.now.UnixMilli(), a.RetryAfter, a.Reason)
			r := s.asked[a.ID]
			delete(s.asked, a.ID)
			r.tried = append(r.tried, e.vm)
			s.place(r)
		}
	}
}

// place asks the next engine for a reservation, up to three of them.
func (s *simulation) place(r *simRun) {
	vm, _, err := s.tables[r.router].Choose(s.now, routing.Lookup{
		Request: routing.Request{Region: "r1", Affinity: uint64(r.model[1]) * 0x9e3779b97f4a7c15},
		Target:  routing.Target{Upstream: "u", Model: r.model},
		Health: func(_ time.Time, vm ident.VM) routing.Health {
			return routing.Health{Excluded: slices.Contains(r.tried, vm)}
		},
	})
	if err != nil || len(r.tried) >= 3 {
		if r.arrived.After(start.Add(simWarmUp)) {
			s.refused++
		}
		return
	}
	i, _ := strconv.Atoi(string(vm))
	e := s.engines[i]
	s.nextID++
	r.requestID = s.nextID
	s.asked[r.requestID] = r
	left := r.arrived.Add(simObjective).Sub(s.now)
	s.perform(e, e.scheduler.Reserve(s.now, Request{
		ID: r.requestID, Model: r.model, CacheTokens: r.prompt + r.shared + r.tokens, PromptTokens: r.prompt + r.shared,
		MaxWait: time.Duration(0.6 * float64(left)), Objective: left, MaxEventGap: simGap, SlownessStated: s.stated,
	}))
	s.report(e, r.router)
}

func (s *simulation) observe(e *simEngine) {
	snap := Snapshot{ReadAt: s.now, Loaded: e.models, Tiers: map[ident.Model]engine.Tier{}, Running: len(e.runs)}
	for _, r := range e.runs {
		snap.Runs = append(snap.Runs, Run{ID: strconv.Itoa(int(r.requestID)), Events: r.events})
	}
	e.readAt = s.now
	s.perform(e, e.scheduler.Observe(s.now, snap))
}

// logNormal returns a random number with a mean and the standard deviation of its logarithm.
func (s *simulation) logNormal(mean, sigma float64) float64 {
	return mean * math.Exp(sigma*s.rng.NormFloat64()-sigma*sigma/2)
}

func (s *simulation) run(perSecond float64, d time.Duration) {
	for _, e := range s.engines {
		s.observe(e)
		for i := range s.tables {
			s.report(e, i)
		}
	}
	for end := start.Add(d); s.now.Before(end); s.now = s.now.Add(simStep) {
		if s.rng.Float64() < perSecond*simStep.Seconds() {
			model := min(s.rng.IntN(6), s.rng.IntN(6))
			r := &simRun{model: ident.Model(fmt.Sprint("m", model)), router: s.rng.IntN(simRouters), arrived: s.now,
				prompt: max(20, int(s.logNormal(1110, 0.8))), shared: 350, tokens: simTokensAnEvent * max(3, int(s.logNormal(43, 0.6)))}
			if r.prompt >= simLong && s.now.After(start.Add(simWarmUp)) {
				s.longAsked++
			}
			s.place(r)
		}
		for i, e := range s.engines {
			s.advance(e)
			if s.now.Sub(e.readAt) >= e.scheduler.PollDelay(s.now, 150*time.Millisecond, 40*time.Millisecond) {
				s.observe(e)
			}
			if at, due := e.scheduler.NextGrant(s.now); due && !at.After(s.now) || s.now.Sub(e.readAt)%(20*time.Millisecond) == 0 {
				s.perform(e, e.scheduler.Tick(s.now))
			}
			if (s.now.Sub(start)+time.Duration(i)*7*time.Millisecond)%(100*time.Millisecond) == 0 {
				for r := range s.tables {
					s.report(e, r)
				}
			}
		}
	}
}

// paceResult sums up runs of the simulation.
type paceResult struct {
	done, late, inTime, refused int
	// engines holds the numbers of complete and of late streams of each engine.
	engines [12]struct{ done, late int }
	// longDone of longAsked prompts of simLong tokens and more were served in time.
	longAsked, longDone int
	decisions           uint64
}

func (r *paceResult) latePercent() float64 { return 100 * float64(r.late) / float64(max(1, r.done)) }

// worstPercent returns the largest share of late streams of an engine, among those with enough
// streams for a share.
func (r *paceResult) worstPercent() float64 {
	const minDone = 100
	worst := 0.0
	for _, e := range r.engines {
		if e.done >= minDone {
			worst = max(worst, 100*float64(e.late)/float64(e.done))
		}
	}
	return worst
}

func (r *paceResult) add(s *simulation) {
	for i, e := range s.engines {
		done, late := 0, 0
		for _, q := range e.done {
			if q.arrived.Before(start.Add(simWarmUp)) {
				continue
			}
			done++
			switch {
			case q.longest > simGap:
				late++
			case q.sent.Add(q.first).Sub(q.arrived) <= simObjective:
				r.inTime++
				if q.prompt >= simLong {
					r.longDone++
				}
			}
		}
		r.done, r.late = r.done+done, r.late+late
		r.engines[i].done += done
		r.engines[i].late += late
	}
	r.refused, r.longAsked = r.refused+s.refused, r.longAsked+s.longAsked
	r.decisions = s.decisions.Sum64()
}

func simulatePace(t *testing.T, perSecond float64, seeds uint64, stated bool) *paceResult {
	t.Helper()
	r := &paceResult{}
	for seed := uint64(1); seed <= seeds; seed++ {
		s := newSimulation(t, stated, seed)
		s.run(perSecond, simTime)
		r.add(s)
	}
	return r
}

// Engines of 0.6, 1 and 1.6 times the usual speed with slow phases. It guards against streams
// that pause for longer than accepted while an engine prefills: without the pace they are a
// quarter to a third, and most of those on the slow engines.
func TestStreamsOfUnevenEnginesKeepAcceptedPauses(t *testing.T) {
	for _, perSecond := range []float64{30, 60} {
		before, now := simulatePace(t, perSecond, 3, false), simulatePace(t, perSecond, 3, true)
		t.Logf("%.0f requests a second: late by a pause %.1f%%, worst engine %.0f%%, in time %d, refused %d, long %d of %d; before %.1f%%, %.0f%%, %d, %d, %d of %d", perSecond,
			now.latePercent(), now.worstPercent(), now.inTime, now.refused, now.longDone, now.longAsked, before.latePercent(), before.worstPercent(), before.inTime, before.refused, before.longDone, before.longAsked)
		if now.latePercent() >= 5 || now.worstPercent() >= 15 {
			t.Errorf("%.1f%% of the streams late by a pause, %.0f%% on the worst engine", now.latePercent(), now.worstPercent())
		}
		if now.longDone*10 < now.longAsked*3 {
			t.Errorf("%d of %d long prompts served in time", now.longDone, now.longAsked)
		}
		if now.inTime*100 < before.inTime*120 {
			t.Errorf("%d in time, %d before: the engines are not used", now.inTime, before.inTime)
		}
	}
}

// Until a slowness is stated, grants and refusals are those of the code before it was read; the
// hash is that of its decisions in this simulation.
func TestEnginesWithoutStatedSlownessAdmitAsBefore(t *testing.T) {
	if got := simulatePace(t, 45, 1, false).decisions; got != 0xd1fd89458d072974 {
		t.Errorf("decisions have hash %#x", got)
	}
}
