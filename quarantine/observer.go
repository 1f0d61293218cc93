package quarantine

import (
	"slices"
	"time"

	"github.com/laureltally/laureltally/fleet"
	"github.com/laureltally/laureltally/ident"
)

const (
	// SoundAfter is how long an answer must be written to prove that its request does not
	// crash servers, unless it is complete before. A crash follows the first token within
	// a tenth of a second.
	SoundAfter = 500 * time.Millisecond
	// lostWindow is how long before a crash is noticed an answer may have broken off
	// because of it.
	lostWindow = time.Second
	// settleTime is the time after a crash within which routers tell how far the answers
	// got.
	settleTime = 250 * time.Millisecond
	// maxLostRuns bounds the runs that are remembered as broken off.
	maxLostRuns = 256
)

// Observer records which requests were running at one engine when it crashed.
type Observer struct {
	address string
	// started is the newest known start of the engine, zero before the first.
	started int64
	// down is set from a crash until the next start, leaving while the engine says that
	// it is about to stop.
	down, leaving bool
	// crashedAt is when the newest crash was noticed, zero once it has been returned.
	crashedAt time.Time
	crashed   fleet.ServerStart
	runs      map[uint64]run
	// lost holds the runs that ended without a complete answer, the oldest first.
	lost []run
}

// run is one request that was sent to the engine.
type run struct {
	traits  []ident.Trait
	begunAt time.Time
	endedAt time.Time
}

// Ending is how a request ended at an engine.
type Ending struct {
	// NotRun is set if the engine has not run the request, and Complete if the answer
	// was complete.
	NotRun, Complete bool
	// Streamed is the time between the first and the last event received.
	Streamed time.Duration
}

// Sound reports whether the answer proves that its request does not crash servers.
func (e Ending) Sound() bool { return e.Complete || e.Streamed >= SoundAfter }

// NewObserver returns an Observer of the engine at an address.
func NewObserver(address string) *Observer {
	return &Observer{address: address, runs: make(map[uint64]run)}
}

// RequestStarted records that a request may be sent to the engine. Traits are those that
// it shares with others, and with its repeats.
func (o *Observer) RequestStarted(now time.Time, id uint64, traits []ident.Trait) {
	o.runs[id] = run{traits: traits, begunAt: now}
}

// RequestEnded records the end of a request. Unknown ids are ignored.
func (o *Observer) RequestEnded(now time.Time, id uint64, e Ending) {
	r, ok := o.runs[id]
	delete(o.runs, id)
	if !ok || e.NotRun || e.Sound() {
		return
	}
	r.endedAt = now
	o.lost = slices.DeleteFunc(o.lost, func(l run) bool { return now.Sub(l.endedAt) > lostWindow })
	if len(o.lost) >= maxLostRuns {
		o.lost = slices.Delete(o.lost, 0, 1)
	}
	o.lost = append(o.lost, r)
}

// EngineUp records that the engine responds, with its start time and whether it says that
// it is about to stop.
func (o *Observer) EngineUp(now time.Time, started int64, leaving bool) {
	if o.started != 0 && started != o.started {
		o.EngineLost(now)
	}
	o.started, o.leaving, o.down = started, leaving, false
}

// EngineLost records that the engine's process has ended. It is a crash unless the engine
// had announced it.
func (o *Observer) EngineLost(now time.Time) {
	if o.down || o.started == 0 {
		return
	}
	o.down = true
	if o.leaving {
		return
	}
	o.crashedAt, o.crashed = now, fleet.ServerStart{Address: o.address, Started: o.started}
}

// Crash returns the newest crash once the fates of its requests are known, and then nil
// until the next one.
func (o *Observer) Crash(now time.Time) *Crash {
	if o.crashedAt.IsZero() || now.Sub(o.crashedAt) < settleTime {
		return nil
	}
	c := &Crash{Server: o.crashed, At: o.crashedAt, Traits: o.suspects()}
	o.crashedAt = time.Time{}
	o.lost = nil
	return c
}

// suspects returns the traits of the requests that may have caused the crash.
func (o *Observer) suspects() []ident.Trait {
	var all []run
	for _, r := range o.lost {
		if !r.begunAt.After(o.crashedAt) && o.crashedAt.Sub(r.endedAt) <= lostWindow {
			all = append(all, r)
		}
	}
	for _, r := range o.runs {
		if !r.begunAt.After(o.crashedAt) {
			all = append(all, r)
		}
	}
	slices.SortFunc(all, func(a, b run) int { return b.begunAt.Compare(a.begunAt) })
	var traits []ident.Trait
	for _, r := range all {
		for _, t := range r.traits {
			if len(traits) < maxCrashTraits && !slices.Contains(traits, t) {
				traits = append(traits, t)
			}
		}
	}
	return traits
}
