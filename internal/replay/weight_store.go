package replay

import (
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/loadlimit"
)

// prewarmPriority is that of loads that no request waits for.
const prewarmPriority = 100

// weightStore is the fake store behind the real gate. Loads beyond its parallel
// limit are proportionally slower.
type weightStore struct {
	gate     *loadlimit.Limiter
	parallel int
	active   int
	// slowdown multiplies each load time.
	slowdown float64
	next     loadlimit.PermitID
	granted  map[loadlimit.PermitID]func(now time.Time)
	timer    time.Time
}

// ask requests a place and calls start when it is granted.
func (w *World) ask(r loadlimit.Request, now time.Time, start func(id loadlimit.PermitID, now time.Time)) {
	s := w.store
	s.next++
	r.ID = s.next
	s.granted[r.ID] = func(at time.Time) { start(r.ID, at) }
	decisions, err := s.gate.Enqueue(r, now)
	if err != nil {
		w.result.GateErrors++
		start(r.ID, now)
		return
	}
	w.decided(decisions, now)
}

// decided acts on the decisions of the gate and schedules its next tick.
func (w *World) decided(ds []loadlimit.Decision, now time.Time) {
	s := w.store
	for _, d := range ds {
		start, ok := s.granted[d.ID]
		delete(s.granted, d.ID)
		if ok && d.Verdict == loadlimit.Granted {
			start(now)
		}
	}
	due, ok := s.gate.NextTick()
	if !ok || due.Equal(s.timer) {
		return
	}
	s.timer = due
	w.events.at(due, func(at time.Time) { w.decided(s.gate.Tick(at), at) })
}

// fetch loads a model from the store and calls done when it has ended.
func (w *World) fetch(r *replica, vm *vm, now time.Time, done func(now time.Time)) {
	m := w.models[r.model]
	req := loadlimit.Request{VM: vm.id, Priority: m.group.Priority, MemoryMB: m.memoryMB}
	if r.prewarmed {
		req.Priority = prewarmPriority
	}
	begin := func(id loadlimit.PermitID, at time.Time) {
		s := w.store
		s.active++
		slow := w.stall() * s.slowdown * max(1, float64(s.active)/float64(s.parallel))
		end := at.Add(scale(loadTimes[engine.TierRemote].duration(m.memoryMB), slow))
		w.events.at(end, func(at time.Time) {
			s.active--
			w.decided(s.gate.Complete(id, at), at)
			done(at)
		})
	}
	if w.o.NoLoadLimit {
		begin(0, now)
		return
	}
	w.ask(req, now, begin)
}

// scale multiplies a duration.
func scale(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }
