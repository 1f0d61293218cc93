package residency

import (
	"math"
	"time"
)

const (
	// windowEvents is the number of events a run, times the square root of the number of runs,
	// that end a window: runs make their events at different times, so the mean of many runs
	// shows fractions of an event.
	windowEvents = 2
	// maxWindow is the time after which a window without a result is dropped.
	maxWindow = time.Second
	// slowRatio is the ratio of the time between events to the lasting one from which the
	// engine is in a slow phase. Larger batches lengthen it by up to a third.
	slowRatio = 1.6
	// maxSlowness bounds the estimated slowness.
	maxSlowness = 4
	// slownessTTL is how long an estimated slowness counts: half of a slow phase.
	slownessTTL = 300 * time.Millisecond
	// slowPhase is how long slow phases usually take.
	slowPhase = 600 * time.Millisecond
	// minPrefillSample is the shortest prefill, in tokens, from whose time the prefill time is
	// learned. The time to the first event of shorter ones is mostly that of the event.
	minPrefillSample = 400
	// initialEventTime and initialTokenTime are assumed before the first measurements, in
	// milliseconds: those of a slow engine.
	initialEventTime, initialTokenTime = 45, 0.075
	// eventTimeStep and tokenTimeStep are the steps of the medians. A slow phase brings about
	// twenty times between events in succession, but few first events.
	eventTimeStep, tokenTimeStep = 0.005, 0.04
)

// enginePace is the pace of an engine, estimated from the events of its runs in successive
// snapshots and from times to first events. It handles engines on shared machines, in two
// parts: lasting differences of speed are learned as medians, which the slow phases do not
// move, and a slow phase of some hundred milliseconds shows in the newest window.
type enginePace struct {
	// events are the events of each run at the begin of the window, and prefilledBefore the
	// result of prefilled then.
	events          map[string]int
	begin           time.Time
	prefilledBefore time.Duration
	// eventTime is the time between events, and tokenTime the prefill time of a token, both
	// lasting and in milliseconds.
	eventTime, tokenTime quantile
	// slowness is the estimate at slowAt; the slow phase, if there is one, was first seen at
	// slowSince.
	slowness          float64
	slowAt, slowSince time.Time
	// prefillTime is the prefill time of all admitted prompts at the lasting pace, and
	// prefillEnd when the last one is expected to end.
	prefillTime time.Duration
	prefillEnd  time.Time
}

func newEnginePace() enginePace {
	return enginePace{eventTime: quantile{value: initialEventTime, below: 0.5, step: eventTimeStep}, tokenTime: quantile{value: initialTokenTime, below: 0.5, step: tokenTimeStep}}
}

// restarted drops what belongs to the previous start of the engine.
func (e *enginePace) restarted() { e.events, e.slowness, e.prefillEnd = nil, 0, time.Time{} }

// admitted takes the prompt of an admitted request and returns how many tokens the engine has
// to prefill before its first event.
func (e *enginePace) admitted(now time.Time, tokens int) int {
	d := e.prefillOf(tokens)
	if e.prefillEnd.Before(now) {
		e.prefillEnd = now
	}
	e.prefillEnd = e.prefillEnd.Add(d)
	e.prefillTime += d
	return int(float64(e.prefillEnd.Sub(now)) / float64(time.Millisecond) / e.tokenTime.value)
}

// prefilled returns the time that the engine has spent on prefill until now, if it went at
// the lasting pace.
func (e *enginePace) prefilled(now time.Time) time.Duration {
	return e.prefillTime - max(0, e.prefillEnd.Sub(now))
}

// prefillOf returns the lasting prefill time of a number of tokens.
func (e *enginePace) prefillOf(tokens int) time.Duration {
	return milliseconds(float64(tokens) * e.tokenTime.value)
}

// event returns the lasting time between events.
func (e *enginePace) event() time.Duration { return milliseconds(e.eventTime.value) }

// observe takes the runs of a snapshot.
func (e *enginePace) observe(at time.Time, runs []Run) {
	made, n := 0, 0
	for _, r := range runs {
		if before := e.events[r.ID]; before > 0 {
			made += r.Events - before
			n++
		}
	}
	if n == 0 || at.Sub(e.begin) > maxWindow {
		e.beginWindow(at, runs)
		return
	}
	prefill := e.prefilled(at) - e.prefilledBefore
	took := float64(at.Sub(e.begin)-prefill) / float64(time.Millisecond)
	mean, enough := float64(made)/float64(n), windowEvents/math.Sqrt(float64(n))
	switch {
	case mean >= enough:
		if prefill == 0 {
			e.eventTime.add(took / mean)
		}
		e.estimate(at, took/mean)
	case e.eventTime.n > 0 && took > slowRatio*e.eventTime.value*enough:
		// The events of a whole window are overdue.
		e.estimate(at, took/max(mean, enough/windowEvents))
	default:
		return
	}
	e.beginWindow(at, runs)
}

func (e *enginePace) beginWindow(at time.Time, runs []Run) {
	e.events, e.begin, e.prefilledBefore = make(map[string]int, len(runs)), at, e.prefilled(at)
	for _, r := range runs {
		e.events[r.ID] = r.Events
	}
}

// estimate takes the time between events in a window, without prefill, in milliseconds.
func (e *enginePace) estimate(at time.Time, ms float64) {
	slowness := 1.0
	if e.eventTime.n > 0 && ms > slowRatio*e.eventTime.value {
		slowness = min(maxSlowness, ms/e.eventTime.value)
	}
	e.setSlowness(at, slowness)
}

func (e *enginePace) setSlowness(at time.Time, slowness float64) {
	if slowness > slowRatio && e.slownessAt(at) <= slowRatio {
		e.slowSince = at
	}
	e.slowness, e.slowAt = slowness, at
}

// slownessAt returns how many times longer than usual the engine takes.
func (e *enginePace) slownessAt(now time.Time) float64 {
	if e.slowness == 0 || now.Sub(e.slowAt) > slownessTTL {
		return 1
	}
	return e.slowness
}

// slowRemaining estimates how long the present slow phase still takes.
func (e *enginePace) slowRemaining(now time.Time) time.Duration {
	return max(0, slowPhase-now.Sub(e.slowSince))
}

// observeFirstEvent takes the time to the first event of a request before which the engine
// had ahead tokens to prefill.
func (e *enginePace) observeFirstEvent(ahead int, first time.Duration) {
	ms := float64(first)/float64(time.Millisecond) - e.eventTime.value
	if ahead >= minPrefillSample && ms > 0 {
		e.tokenTime.add(min(1.0/minPrefillRate, max(1.0/maxPrefillRate, ms/float64(ahead))))
	}
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
