package idempotency

import (
	"context"
	"fmt"
	"time"

	"github.com/laureltally/laureltally/attempt"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/wire"
)

// fault is one variant of spec/claims.pml.
type fault string

const (
	noFault       fault = ""
	noTombstone   fault = "NO_TOMBSTONE"
	noIncarnation fault = "NO_INCARNATION"
	moveWhenGone  fault = "MOVE_WHEN_GONE"
	blindMove     fault = "BLIND_MOVE"
	noReread      fault = "NO_REREAD"
	dropTombstone fault = "DROP_TOMBSTONE"
	lateRefusal   fault = "LATE_REFUSAL"
)

const (
	worldKeys    = 2
	worldRouters = 2
	worldAgents  = 2
	worldWindow  = time.Hour
	// worldSpan stays below rememberWindows windows.
	worldSpan = 7 * worldWindow
)

// world runs the attempt tables, the bucket machines and the calls of two
// routers against one object, with the events of spec/claims.pml in any order.
type world struct {
	fault   fault
	pick    func(n int) int
	now     time.Time
	end     time.Time
	object  metastore.Object
	past    []metastore.Object
	late    []lateWrite
	agents  [worldAgents]*worldAgent
	routers [worldRouters]*worldRouter
	lives   ident.Incarnation
	keyOf   map[ident.Attempt]digest
	sent    []dispatch
	runs    map[digest]int
	joined  int
	moved   int
}

type lateWrite struct {
	value  []byte
	expect metastore.Version
}

type dispatch struct {
	call   *worldCall
	name   ident.Attempt
	target Target
}

type worldAgent struct {
	vm          ident.VM
	incarnation ident.Incarnation
	table       *attempt.Table
	accepted    []dispatch
}

type worldRouter struct {
	machine *machine
	minter  *attempt.NameGenerator
	calls   []*worldCall
	nextOp  uint64
}

type worldCall struct {
	*call
	opID    uint64
	found   *entry
	refuted ident.Attempt
	out     Outcome
	ended   bool
}

func newWorld(f fault, pick func(int) int) *world {
	w := &world{
		fault: f, pick: pick, now: time.Unix(1_800_000_000, 0),
		keyOf: make(map[ident.Attempt]digest), runs: make(map[digest]int),
	}
	w.end = w.now.Add(worldSpan)
	for i := range w.agents {
		w.agents[i] = &worldAgent{vm: ident.VM(fmt.Sprint("agent", i))}
		w.restartAgent(w.agents[i])
	}
	for i := range w.routers {
		w.restartRouter(i)
	}
	return w
}

func (w *world) life() ident.Incarnation { w.lives++; return w.lives }

func (w *world) restartAgent(a *worldAgent) {
	a.incarnation, a.accepted = w.life(), nil
	w.newTable(a)
}

func (w *world) newTable(a *worldAgent) {
	a.table = attempt.NewTable(attempt.Options{Incarnation: a.incarnation, KeyedRetention: worldWindow})
}

func (w *world) restartRouter(i int) {
	w.routers[i] = &worldRouter{
		machine: newMachine(machineOptions{
			object: "claims", window: worldWindow, maxBytes: metastore.MaxValueBytes,
			skipReread: w.fault == noReread, blindMove: w.fault == blindMove,
		}),
		minter: attempt.NewNameGenerator(ident.VM(fmt.Sprint("router", i)), w.life()),
	}
}

// step makes one event happen.
func (w *world) step() {
	r := w.routers[w.pick(worldRouters)]
	a := w.agents[w.pick(worldAgents)]
	switch w.pick(16) {
	case 0, 1:
		w.begin(r)
	case 2, 3, 4:
		w.act(r)
	case 5, 6:
		w.ask(r)
	case 7, 8:
		w.deliver()
	case 9, 10:
		w.runOne(a)
	case 11:
		w.withdraw(a)
	case 12:
		w.landLate()
	case 13:
		w.change()
	case 14:
		w.elapse()
	case 15:
		w.restartOne(a)
	}
}

func (w *world) begin(r *worldRouter) {
	c := &worldCall{call: newCall(digestOf(fmt.Sprint("key", w.pick(worldKeys))), digestOf("f"))}
	r.calls = append(r.calls, c)
	w.propose(r, c)
}

func (w *world) propose(r *worldRouter, c *worldCall) {
	a := w.agents[w.pick(worldAgents)]
	name := r.minter.Keyed()
	w.keyOf[name] = c.op.key
	r.nextOp++
	c.opID, c.found = r.nextOp, nil
	o := c.propose(name, Target{VM: a.vm, Incarnation: a.incarnation})
	o.id = c.opID
	r.machine.add(o)
}

// act carries out the router's next call to the platform, and then lets it take
// the results.
func (w *world) act(r *worldRouter) {
	act := r.machine.next(w.now)
	switch {
	case act.read:
		w.read(r)
	case act.write:
		w.write(r, act)
	}
	for _, res := range r.machine.take() {
		for _, c := range r.calls {
			if c.opID == res.id && !c.ended {
				w.settle(c, res)
			}
		}
	}
}

func (w *world) read(r *worldRouter) {
	object := w.object
	switch w.pick(6) {
	case 0:
		r.machine.readFailed(&metastore.UnavailableError{Op: "get", Err: context.DeadlineExceeded})
		return
	case 1:
		if len(w.past) > 0 {
			object = w.past[w.pick(len(w.past))]
		}
	}
	r.machine.loaded(object.Version, object.Value)
}

func (w *world) write(r *worldRouter, act action) {
	lost := &metastore.UnavailableError{Op: "put", Err: context.DeadlineExceeded}
	switch w.pick(4) {
	case 0:
		w.late = append(w.late, lateWrite{value: act.value, expect: act.expect})
		r.machine.unanswered(lost)
	case 1:
		w.put(act.value, act.expect)
		r.machine.unanswered(lost)
	default:
		if w.put(act.value, act.expect) {
			r.machine.wrote(w.object.Version)
		} else {
			r.machine.conflicted()
		}
	}
}

func (w *world) put(value []byte, expect metastore.Version) bool {
	if w.object.Version != expect {
		return false
	}
	w.past = append(w.past, w.object)
	w.object = metastore.Object{Value: value, Version: expect + 1}
	return true
}

func (w *world) settle(c *worldCall, res result) {
	c.found = res.found
	if res.err != nil {
		c.ended = true
		return
	}
	out, done := c.settled(res)
	if !done {
		return
	}
	c.ended, c.out = true, out
	if c.op.kind == opMove {
		w.moved++
	}
	if w.pick(4) > 0 {
		w.sent = append(w.sent, dispatch{call: c, name: out.Attempt, target: out.Target})
	}
}

// ask has a router inquire for a call that found a claim, or move a call whose
// own attempt was refused.
func (w *world) ask(r *worldRouter) {
	for _, c := range r.calls {
		switch {
		case c.refuted != "":
			e := entry{Attempt: c.refuted}
			c.ended, c.refuted = false, ""
			c.answered(e, wire.AttemptNotRun, nil)
			w.propose(r, c)
			return
		case !c.ended && c.found != nil:
			w.inquire(r, c)
			return
		}
	}
}

func (w *world) inquire(r *worldRouter, c *worldCall) {
	var state wire.AttemptState
	for _, a := range w.agents {
		if a.vm == c.found.VM {
			state = w.wordOf(a, *c.found)
		}
	}
	if w.fault == moveWhenGone && state == wire.AttemptUnknown {
		state = wire.AttemptNotRun
	}
	out, done := c.answered(*c.found, state, nil)
	if !done {
		w.propose(r, c)
		return
	}
	if out.Kind == Join {
		w.joined++
	}
	c.ended, c.out = true, out
}

func (w *world) wordOf(a *worldAgent, e entry) wire.AttemptState {
	if w.fault == noTombstone && e.Incarnation == a.incarnation && a.table.State(e.Attempt) == attempt.NeverSeen {
		return wire.AttemptNotRun
	}
	return a.table.Inquire(w.now, e.Attempt, e.Incarnation)
}

// deliver brings any dispatch on the way to its agent.
func (w *world) deliver() {
	if len(w.sent) == 0 {
		return
	}
	i := w.pick(len(w.sent))
	d := w.sent[i]
	w.sent = append(w.sent[:i:i], w.sent[i+1:]...)
	for _, a := range w.agents {
		if a.vm != d.target.VM {
			continue
		}
		named := d.target.Incarnation
		if w.fault == noIncarnation {
			named = a.incarnation
		}
		decision := a.table.Dispatch(w.now, d.name, named)
		if decision.Accepted {
			a.accepted = append(a.accepted, d)
		} else if decision.Refusal.Run == wire.RunStateNotRun {
			d.call.refuted = d.name
		}
	}
}

func (w *world) runOne(a *worldAgent) {
	if len(a.accepted) == 0 {
		return
	}
	d := a.accepted[0]
	if a.table.Begin(d.name) {
		w.runs[w.keyOf[d.name]]++
		return
	}
	a.accepted = a.accepted[1:]
	a.table.Finish(w.now, d.name)
}

func (w *world) withdraw(a *worldAgent) {
	if len(a.accepted) == 0 {
		return
	}
	d := a.accepted[w.pick(len(a.accepted))]
	if a.table.Withdraw(w.now, d.name) || w.fault == lateRefusal {
		d.call.refuted = d.name
	}
}

func (w *world) landLate() {
	if len(w.late) == 0 {
		return
	}
	i := w.pick(len(w.late))
	l := w.late[i]
	w.late = append(w.late[:i:i], w.late[i+1:]...)
	w.put(l.value, l.expect)
}

// change is a write for another key of the same object.
func (w *world) change() { w.put(w.object.Value, w.object.Version) }

func (w *world) elapse() {
	step := []time.Duration{time.Second, attempt.DefaultRetention, worldWindow}[w.pick(3)]
	if w.now.Add(step).Before(w.end) {
		w.now = w.now.Add(step)
	}
	if w.fault == dropTombstone {
		for _, a := range w.agents {
			w.newTable(a)
		}
	}
}

func (w *world) restartOne(a *worldAgent) {
	switch w.pick(4) {
	case 0:
		w.restartAgent(a)
	case 1:
		w.restartRouter(w.pick(worldRouters))
	}
}

// doubled tells whether a key's request has run twice.
func (w *world) doubled() bool {
	for _, n := range w.runs {
		if n > 1 {
			return true
		}
	}
	return false
}
