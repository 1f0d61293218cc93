package replay

import (
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/loadlimit"
)

// prewarmPriority is the priority of loads for which no request waits.
const prewarmPriority = 100

// weightStore simulates the store behind the real load limiter. A load that starts
// when more than parallel loads run, itself included, is proportionally slower.
type weightStore struct {
	limiter  *loadlimit.Limiter
	parallel int
	active   int
	// slowdown multiplies each load time.
	slowdown float64
	lastID   loadlimit.PermitID
	onGrant  map[loadlimit.PermitID]func(now time.Time)
	nextTick time.Time
}

// requestPermit requests a load permit and calls start when it is granted. If the
// limiter fails, it counts the error and calls start at once.
func (sim *Simulation) requestPermit(r loadlimit.Request, now time.Time, start func(id loadlimit.PermitID, now time.Time)) {
	s := sim.store
	s.lastID++
	r.ID = s.lastID
	s.onGrant[r.ID] = func(at time.Time) { start(r.ID, at) }
	decisions, err := s.limiter.Enqueue(r, now)
	if err != nil {
		sim.result.LimiterErrors++
		start(r.ID, now)
		return
	}
	sim.applyDecisions(decisions, now)
}

// applyDecisions starts the loads that the limiter granted and schedules the
// limiter's next tick.
func (sim *Simulation) applyDecisions(ds []loadlimit.Decision, now time.Time) {
	s := sim.store
	for _, d := range ds {
		start, ok := s.onGrant[d.ID]
		delete(s.onGrant, d.ID)
		if ok && d.Verdict == loadlimit.Granted {
			start(now)
		}
	}
	due, ok := s.limiter.NextTick()
	if !ok || due.Equal(s.nextTick) {
		return
	}
	s.nextTick = due
	sim.events.at(due, func(at time.Time) { sim.applyDecisions(s.limiter.Tick(at), at) })
}

// loadRemote loads a model from the store and calls done when the load has ended.
func (sim *Simulation) loadRemote(r *replica, vm *vm, now time.Time, done func(now time.Time)) {
	m := sim.models[r.model]
	req := loadlimit.Request{VM: vm.id, Priority: m.group.Priority, MemoryMB: m.memoryMB}
	if r.prewarmed {
		req.Priority = prewarmPriority
	}
	begin := func(id loadlimit.PermitID, at time.Time) {
		s := sim.store
		s.active++
		slow := sim.stall() * s.slowdown * max(1, float64(s.active)/float64(s.parallel))
		end := at.Add(scale(loadTimes[engine.TierRemote].duration(m.memoryMB), slow))
		sim.events.at(end, func(at time.Time) {
			s.active--
			sim.applyDecisions(s.limiter.Complete(id, at), at)
			done(at)
		})
	}
	if sim.o.NoLoadLimit {
		begin(0, now)
		return
	}
	sim.requestPermit(req, now, begin)
}

// scale multiplies a duration.
func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }
