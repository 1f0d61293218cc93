package attempt

import (
	"time"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/wire"
)

// Table is an agent's table of attempts: a pure state machine, which its driver
// guards with a lock.
//
// Invariant: an attempt becomes Running at most once in the life of a Table.
// Only Begin makes it so, and only from Queued; only Dispatch makes it Queued,
// and only when it is neither in the table nor numbered at or below its floor;
// and an attempt leaves the table only together with a floor that covers it.
//
// Invariant: what was called not run never runs. "not run" is said of an attempt
// that is Tombstoned, which Begin refuses; of a dispatch that names another
// incarnation or is malformed, which is refused whenever it comes; and of one
// refused at the bound, whose only copy this was.
type Table struct {
	opts    Options
	entries map[ident.Attempt]*entry
	floors  map[sequence]uint64
	// ended lists the ended attempts in the order of their ends, the claimed
	// ones apart.
	ended        []*entry
	endedClaimed []*entry
}

// NewTable returns the empty table of a new incarnation.
func NewTable(o Options) *Table {
	return &Table{
		opts:    o.withDefaults(),
		entries: make(map[ident.Attempt]*entry),
		floors:  make(map[sequence]uint64),
	}
}

// SetKeyedRetention follows a change of the environment's claim window.
func (t *Table) SetKeyedRetention(d time.Duration) {
	t.opts.KeyedRetention = max(d, t.opts.Retention)
}

// Dispatch decides on the arrival of a dispatch that names the agent's
// incarnation as the router knew it. An accepted attempt is Queued. Whoever
// then refuses it for another reason calls Withdraw first.
func (t *Table) Dispatch(now time.Time, name ident.Attempt, incarnation ident.Incarnation) Decision {
	t.Expire(now)
	id, err := Parse(name)
	if err != nil {
		return refuse(name, wire.CodeMalformed, wire.RunStateNotRun)
	}
	if incarnation != t.opts.Incarnation {
		return refuse(name, wire.CodeWrongIncarnation, wire.RunStateNotRun)
	}
	switch t.state(name, id) {
	case NeverSeen:
	case Tombstoned:
		return refuse(name, wire.CodeTombstoned, wire.RunStateNotRun)
	case Forgotten:
		return refuse(name, wire.CodeUnknownAttempt, wire.RunStateUnknown)
	default:
		return refuse(name, wire.CodeDuplicateAttempt, wire.RunStateUnknown)
	}
	if t.full() {
		return refuse(name, wire.CodeOverloaded, wire.RunStateNotRun)
	}
	t.entries[name] = &entry{name: name, id: id, state: Queued}
	return Decision{Accepted: true}
}

// Begin must return true before the upstream is asked. It returns false if the
// attempt is not Queued, for example because it was withdrawn.
func (t *Table) Begin(name ident.Attempt) bool {
	e, ok := t.entries[name]
	if !ok || e.state != Queued {
		return false
	}
	e.state = Running
	return true
}

// Withdraw gives up an attempt that has not begun. If it returns true, the
// attempt is Tombstoned and may be refused as not run; otherwise it has begun,
// and whether it ran is unknown.
func (t *Table) Withdraw(now time.Time, name ident.Attempt) bool {
	return t.tombstone(now, name, Queued)
}

// WithdrawUnsent gives up an attempt of which the caller knows that no byte of the
// request has left for the upstream. It returns as Withdraw does.
func (t *Table) WithdrawUnsent(now time.Time, name ident.Attempt) bool {
	return t.tombstone(now, name, Running)
}

func (t *Table) tombstone(now time.Time, name ident.Attempt, latest State) bool {
	e, ok := t.entries[name]
	if !ok {
		return false
	}
	if e.state == Tombstoned {
		return true
	}
	if e.state.ended() || e.state > latest {
		return false
	}
	t.end(now, e, Tombstoned)
	return true
}

// Finish records that a Running attempt's answer is whole.
func (t *Table) Finish(now time.Time, name ident.Attempt) { t.stop(now, name, Finished) }

// Abort records that a Running attempt ended without a whole answer.
func (t *Table) Abort(now time.Time, name ident.Attempt) { t.stop(now, name, Cut) }

func (t *Table) stop(now time.Time, name ident.Attempt, s State) {
	if e, ok := t.entries[name]; ok && e.state == Running {
		t.end(now, e, s)
	}
}

// Cancel decides on a caller's wish to stop. It returns the state after it:
// Running means that the driver has to stop the upstream's work and then call
// Cut. An attempt that was never seen is tombstoned, since a Cancel may arrive
// before the Dispatch.
func (t *Table) Cancel(now time.Time, name ident.Attempt) State {
	t.Expire(now)
	id, err := Parse(name)
	if err != nil {
		return Forgotten
	}
	switch s := t.state(name, id); s {
	case NeverSeen:
		return t.bury(now, name, id)
	case Queued:
		t.Withdraw(now, name)
		return Tombstoned
	default:
		return s
	}
}

// Inquire answers what became of an attempt of the given incarnation. An
// attempt that was never seen is tombstoned first. A cut attempt counts as
// finished: what is kept of its answer ends in an Abort.
func (t *Table) Inquire(now time.Time, name ident.Attempt, incarnation ident.Incarnation) wire.AttemptState {
	t.Expire(now)
	id, err := Parse(name)
	if err != nil || incarnation != t.opts.Incarnation {
		return wire.AttemptUnknown
	}
	s := t.state(name, id)
	if s == NeverSeen {
		s = t.bury(now, name, id)
	}
	switch s {
	case Tombstoned:
		return wire.AttemptNotRun
	case Queued, Running:
		return wire.AttemptRunning
	case Finished, Cut:
		return wire.AttemptFinished
	default:
		return wire.AttemptUnknown
	}
}

// State returns what the table knows of an attempt.
func (t *Table) State(name ident.Attempt) State {
	id, err := Parse(name)
	if err != nil {
		return NeverSeen
	}
	return t.state(name, id)
}

// Len returns the number of attempts in the table.
func (t *Table) Len() int { return len(t.entries) }

// Expire forgets the ended attempts whose retention is over.
func (t *Table) Expire(now time.Time) {
	t.ended = t.expire(t.ended, now.Add(-t.opts.Retention))
	t.endedClaimed = t.expire(t.endedClaimed, now.Add(-t.opts.KeyedRetention))
}

// expire forgets the entries that ended at or before the given time, up to the
// first whose floor has no place.
func (t *Table) expire(list []*entry, before time.Time) []*entry {
	for len(list) > 0 && !list[0].endedAt.After(before) && t.forget(list[0]) {
		list[0] = nil
		list = list[1:]
	}
	return list
}

// forget raises the floor before it drops the entry, and returns false if there
// is no place for another floor.
func (t *Table) forget(e *entry) bool {
	s := sequenceOf(e.id)
	floor, ok := t.floors[s]
	if !ok && len(t.floors) >= t.opts.MaxFloors {
		return false
	}
	t.floors[s] = max(floor, e.id.Seq)
	delete(t.entries, e.name)
	return true
}

// bury makes a tombstone for an attempt that was never seen. Without a place
// for it the attempt may still come and run, so that it stays NeverSeen.
func (t *Table) bury(now time.Time, name ident.Attempt, id ID) State {
	if t.full() {
		return NeverSeen
	}
	e := &entry{name: name, id: id}
	t.entries[name] = e
	t.end(now, e, Tombstoned)
	return Tombstoned
}

func (t *Table) end(now time.Time, e *entry, s State) {
	e.state = s
	e.endedAt = now
	if e.id.Claimed {
		t.endedClaimed = append(t.endedClaimed, e)
		return
	}
	t.ended = append(t.ended, e)
}

func (t *Table) state(name ident.Attempt, id ID) State {
	if e, ok := t.entries[name]; ok {
		return e.state
	}
	if id.Seq <= t.floors[sequenceOf(id)] {
		return Forgotten
	}
	return NeverSeen
}

func (t *Table) full() bool { return len(t.entries) >= t.opts.MaxEntries }

func refuse(name ident.Attempt, code wire.Code, run wire.RunState) Decision {
	return Decision{Refusal: wire.Refusal{Attempt: name, Code: code, Run: run}}
}
