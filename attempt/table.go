package attempt

import (
	"time"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/wire"
)

// Table is an agent's table of attempts. It is a pure state machine; its caller
// guards it with a lock.
//
// Invariant: an attempt becomes Running at most once in the lifetime of a
// Table. Only Begin makes it Running, and only from Queued. Only Dispatch makes
// it Queued, and only if it is neither in the table nor numbered at or below
// its floor. An attempt leaves the table only when its floor has been raised to
// cover it.
//
// Invariant: an attempt reported as not run never runs. It is reported for an
// attempt that is Tombstoned, which Begin refuses; for a dispatch that names
// another incarnation or is malformed, which is always refused; and for one
// refused because the table is full, which is never sent again.
type Table struct {
	opts    Options
	entries map[ident.Attempt]*entry
	floors  map[sequence]uint64
	// ended lists the ended attempts in the order in which they ended; the claimed
	// ones are in a list of their own.
	ended        []*entry
	endedClaimed []*entry
}

// NewTable returns an empty table.
func NewTable(o Options) *Table {
	return &Table{
		opts:    o.withDefaults(),
		entries: make(map[ident.Attempt]*entry),
		floors:  make(map[sequence]uint64),
	}
}

// SetKeyedRetention sets the retention of claimed attempts, for example after a
// change of the environment's claim window.
func (t *Table) SetKeyedRetention(d time.Duration) {
	t.opts.KeyedRetention = max(d, t.opts.Retention)
}

// Dispatch decides on a dispatch. incarnation is that of the agent to which the
// router sent it. An accepted attempt is Queued. A caller that then refuses it
// for another reason must call Withdraw first.
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

// Begin marks a Queued attempt as Running. It must return true before the
// request is sent to the upstream. It returns false if the attempt is not
// Queued, for example because it was withdrawn.
func (t *Table) Begin(name ident.Attempt) bool {
	e, ok := t.entries[name]
	if !ok || e.state != Queued {
		return false
	}
	e.state = Running
	return true
}

// Withdraw tombstones an attempt that is not yet Running. If it returns true,
// the attempt may be refused as not run. Otherwise the attempt has begun, and
// whether it ran is unknown.
func (t *Table) Withdraw(now time.Time, name ident.Attempt) bool {
	return t.tombstone(now, name, Queued)
}

// WithdrawUnsent tombstones a Running attempt if the caller knows that no byte
// of the request was sent to the upstream. It returns the same as Withdraw.
func (t *Table) WithdrawUnsent(now time.Time, name ident.Attempt) bool {
	return t.tombstone(now, name, Running)
}

func (t *Table) tombstone(now time.Time, name ident.Attempt, maxState State) bool {
	e, ok := t.entries[name]
	if !ok {
		return false
	}
	if e.state == Tombstoned {
		return true
	}
	if e.state.ended() || e.state > maxState {
		return false
	}
	t.end(now, e, Tombstoned)
	return true
}

// Finish records that a Running attempt has a complete response.
func (t *Table) Finish(now time.Time, name ident.Attempt) { t.finish(now, name, Finished) }

// Abort records that a Running attempt ended without a complete response.
func (t *Table) Abort(now time.Time, name ident.Attempt) { t.finish(now, name, Aborted) }

func (t *Table) finish(now time.Time, name ident.Attempt, s State) {
	if e, ok := t.entries[name]; ok && e.state == Running {
		t.end(now, e, s)
	}
}

// Cancel handles a caller's cancellation and returns the resulting state. For
// Running, the caller of Cancel has to stop the upstream's work and then call
// Abort. An attempt that was never seen is tombstoned, since a Cancel may
// arrive before its Dispatch.
func (t *Table) Cancel(now time.Time, name ident.Attempt) State {
	t.Expire(now)
	id, err := Parse(name)
	if err != nil {
		return Forgotten
	}
	switch s := t.state(name, id); s {
	case NeverSeen:
		return t.tombstoneUnseen(now, name, id)
	case Queued:
		t.Withdraw(now, name)
		return Tombstoned
	default:
		return s
	}
}

// Inquire returns the state of an attempt at the given incarnation of the
// agent. An attempt that was never seen is tombstoned first. An Aborted attempt
// counts as finished, since what is retained of its response ends in an Abort.
func (t *Table) Inquire(now time.Time, name ident.Attempt, incarnation ident.Incarnation) wire.AttemptState {
	t.Expire(now)
	id, err := Parse(name)
	if err != nil || incarnation != t.opts.Incarnation {
		return wire.AttemptUnknown
	}
	s := t.state(name, id)
	if s == NeverSeen {
		s = t.tombstoneUnseen(now, name, id)
	}
	switch s {
	case Tombstoned:
		return wire.AttemptNotRun
	case Queued, Running:
		return wire.AttemptRunning
	case Finished, Aborted:
		return wire.AttemptFinished
	default:
		return wire.AttemptUnknown
	}
}

// State returns the state of an attempt in the table.
func (t *Table) State(name ident.Attempt) State {
	id, err := Parse(name)
	if err != nil {
		return NeverSeen
	}
	return t.state(name, id)
}

// Len returns the number of attempts in the table.
func (t *Table) Len() int { return len(t.entries) }

// Expire drops the ended attempts whose retention has passed.
func (t *Table) Expire(now time.Time) {
	t.ended = t.expire(t.ended, now.Add(-t.opts.Retention))
	t.endedClaimed = t.expire(t.endedClaimed, now.Add(-t.opts.KeyedRetention))
}

// expire drops the entries that ended at or before the given time. It stops at
// the first whose floor cannot be stored.
func (t *Table) expire(list []*entry, before time.Time) []*entry {
	for len(list) > 0 && !list[0].endedAt.After(before) && t.forget(list[0]) {
		list[0] = nil
		list = list[1:]
	}
	return list
}

// forget raises the floor and then drops the entry. It returns false if
// MaxFloors is reached.
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

// tombstoneUnseen adds a tombstone for an attempt that was never seen. If the
// table is full, the attempt may still arrive and run and stays NeverSeen.
func (t *Table) tombstoneUnseen(now time.Time, name ident.Attempt, id ID) State {
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
