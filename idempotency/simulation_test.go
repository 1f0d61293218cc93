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
	noFault         fault = ""
	noTombstone     fault = "NO_TOMBSTONE"
	noIncarnation   fault = "NO_INCARNATION"
	moveWhenUnknown fault = "MOVE_WHEN_GONE"
	blindMove       fault = "BLIND_MOVE"
	noReread        fault = "NO_REREAD"
	dropTombstone   fault = "DROP_TOMBSTONE"
	lateRefusal     fault = "LATE_REFUSAL"
)

const (
	simKeys    = 2
	simRouters = 2
	simAgents  = 2
	simWindow  = time.Hour
	// simDuration stays below retentionWindows windows.
	simDuration = 7 * simWindow
)

// simulation runs the attempt tables, the bucket machines and the calls of two
// routers against one object, with the events of spec/claims.pml in any order.
type simulation struct {
	fault        fault
	pick         func(n int) int
	now          time.Time
	end          time.Time
	object       metastore.Object
	previous     []metastore.Object
	lateWrites   []lateWrite
	agents       [simAgents]*simAgent
	routers      [simRouters]*simRouter
	incarnations ident.Incarnation
	keyOf        map[ident.Attempt]digest
	sent         []dispatch
	runs         map[digest]int
	joined       int
	moved        int
}

type lateWrite struct {
	value  []byte
	expect metastore.Version
}

type dispatch struct {
	call   *simCall
	name   ident.Attempt
	target Target
}

type simAgent struct {
	vm          ident.VM
	incarnation ident.Incarnation
	table       *attempt.Table
	accepted    []dispatch
}

type simRouter struct {
	machine *machine
	names   *attempt.NameGenerator
	calls   []*simCall
	nextOp  uint64
}

type simCall struct {
	*call
	opID   uint64
	holder *record
	notRun ident.Attempt
	out    Outcome
	ended  bool
}

func newSimulation(f fault, pick func(int) int) *simulation {
	w := &simulation{
		fault: f, pick: pick, now: time.Unix(1_800_000_000, 0),
		keyOf: make(map[ident.Attempt]digest), runs: make(map[digest]int),
	}
	w.end = w.now.Add(simDuration)
	for i := range w.agents {
		w.agents[i] = &simAgent{vm: ident.VM(fmt.Sprint("agent", i))}
		w.restartAgent(w.agents[i])
	}
	for i := range w.routers {
		w.restartRouter(i)
	}
	return w
}

func (w *simulation) nextIncarnation() ident.Incarnation { w.incarnations++; return w.incarnations }

func (w *simulation) restartAgent(a *simAgent) {
	a.incarnation, a.accepted = w.nextIncarnation(), nil
	w.newTable(a)
}

func (w *simulation) newTable(a *simAgent) {
	a.table = attempt.NewTable(attempt.Options{Incarnation: a.incarnation, KeyedRetention: simWindow})
}

func (w *simulation) restartRouter(i int) {
	w.routers[i] = &simRouter{
		machine: newMachine(machineOptions{
			objectKey: "claims", window: simWindow, maxBytes: metastore.MaxValueBytes,
			skipReread: w.fault == noReread, blindMove: w.fault == blindMove,
		}),
		names: attempt.NewNameGenerator(ident.VM(fmt.Sprint("router", i)), w.nextIncarnation()),
	}
}

// step runs one event.
func (w *simulation) step() {
	r := w.routers[w.pick(simRouters)]
	a := w.agents[w.pick(simAgents)]
	switch w.pick(16) {
	case 0, 1:
		w.begin(r)
	case 2, 3, 4:
		w.act(r)
	case 5, 6:
		w.inquireOrMove(r)
	case 7, 8:
		w.deliver()
	case 9, 10:
		w.runOne(a)
	case 11:
		w.withdraw(a)
	case 12:
		w.applyLateWrite()
	case 13:
		w.writeOtherKey()
	case 14:
		w.advanceTime()
	case 15:
		w.restartRandom(a)
	}
}

func (w *simulation) begin(r *simRouter) {
	c := &simCall{call: newCall(digestOf(fmt.Sprint("key", w.pick(simKeys))), digestOf("f"))}
	r.calls = append(r.calls, c)
	w.propose(r, c)
}

func (w *simulation) propose(r *simRouter, c *simCall) {
	a := w.agents[w.pick(simAgents)]
	name := r.names.Keyed()
	w.keyOf[name] = c.operation.key
	r.nextOp++
	c.opID, c.holder = r.nextOp, nil
	o := c.propose(name, Target{VM: a.vm, Incarnation: a.incarnation})
	o.id = c.opID
	r.machine.add(o)
}

// act carries out the router's next call to the store and handles the
// results.
func (w *simulation) act(r *simRouter) {
	act := r.machine.next(w.now)
	switch {
	case act.read:
		w.read(r)
	case act.write:
		w.write(r, act)
	}
	for _, res := range r.machine.takeResults() {
		for _, c := range r.calls {
			if c.opID == res.id && !c.ended {
				w.handleResult(c, res)
			}
		}
	}
}

func (w *simulation) read(r *simRouter) {
	object := w.object
	switch w.pick(6) {
	case 0:
		r.machine.readFailed(&metastore.UnavailableError{Op: "get", Err: context.DeadlineExceeded})
		return
	case 1:
		if len(w.previous) > 0 {
			object = w.previous[w.pick(len(w.previous))]
		}
	}
	r.machine.readDone(object.Version, object.Value)
}

func (w *simulation) write(r *simRouter, act action) {
	lost := &metastore.UnavailableError{Op: "put", Err: context.DeadlineExceeded}
	switch w.pick(4) {
	case 0:
		w.lateWrites = append(w.lateWrites, lateWrite{value: act.value, expect: act.expect})
		r.machine.writeUnknown(lost)
	case 1:
		w.put(act.value, act.expect)
		r.machine.writeUnknown(lost)
	default:
		if w.put(act.value, act.expect) {
			r.machine.writeDone(w.object.Version)
		} else {
			r.machine.writeConflict()
		}
	}
}

func (w *simulation) put(value []byte, expect metastore.Version) bool {
	if w.object.Version != expect {
		return false
	}
	w.previous = append(w.previous, w.object)
	w.object = metastore.Object{Value: value, Version: expect + 1}
	return true
}

func (w *simulation) handleResult(c *simCall, res result) {
	c.holder = res.holder
	if res.err != nil {
		c.ended = true
		return
	}
	out, done := c.ownOutcome(res)
	if !done {
		return
	}
	c.ended, c.out = true, out
	if c.operation.kind == opMove {
		w.moved++
	}
	if w.pick(4) > 0 {
		w.sent = append(w.sent, dispatch{call: c, name: out.Attempt, target: out.Target})
	}
}

// inquireOrMove makes a router inquire for a call that found a record, or move
// the key of a call whose own attempt was rejected.
func (w *simulation) inquireOrMove(r *simRouter) {
	for _, c := range r.calls {
		switch {
		case c.notRun != "":
			e := record{Attempt: c.notRun}
			c.ended, c.notRun = false, ""
			c.resolve(e, wire.AttemptNotRun, nil)
			w.propose(r, c)
			return
		case !c.ended && c.holder != nil:
			w.inquire(r, c)
			return
		}
	}
}

func (w *simulation) inquire(r *simRouter, c *simCall) {
	var state wire.AttemptState
	for _, a := range w.agents {
		if a.vm == c.holder.VM {
			state = w.attemptState(a, *c.holder)
		}
	}
	if w.fault == moveWhenUnknown && state == wire.AttemptUnknown {
		state = wire.AttemptNotRun
	}
	out, done := c.resolve(*c.holder, state, nil)
	if !done {
		w.propose(r, c)
		return
	}
	if out.Kind == Join {
		w.joined++
	}
	c.ended, c.out = true, out
}

func (w *simulation) attemptState(a *simAgent, e record) wire.AttemptState {
	if w.fault == noTombstone && e.Incarnation == a.incarnation && a.table.State(e.Attempt) == attempt.NeverSeen {
		return wire.AttemptNotRun
	}
	return a.table.Inquire(w.now, e.Attempt, e.Incarnation)
}

// deliver delivers one dispatch in transit to its agent.
func (w *simulation) deliver() {
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
		targetIncarnation := d.target.Incarnation
		if w.fault == noIncarnation {
			targetIncarnation = a.incarnation
		}
		decision := a.table.Dispatch(w.now, d.name, targetIncarnation)
		if decision.Accepted {
			a.accepted = append(a.accepted, d)
		} else if decision.Refusal.Run == wire.RunStateNotRun {
			d.call.notRun = d.name
		}
	}
}

func (w *simulation) runOne(a *simAgent) {
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

func (w *simulation) withdraw(a *simAgent) {
	if len(a.accepted) == 0 {
		return
	}
	d := a.accepted[w.pick(len(a.accepted))]
	if a.table.Withdraw(w.now, d.name) || w.fault == lateRefusal {
		d.call.notRun = d.name
	}
}

func (w *simulation) applyLateWrite() {
	if len(w.lateWrites) == 0 {
		return
	}
	i := w.pick(len(w.lateWrites))
	l := w.lateWrites[i]
	w.lateWrites = append(w.lateWrites[:i:i], w.lateWrites[i+1:]...)
	w.put(l.value, l.expect)
}

// writeOtherKey is a write for another key of the same object.
func (w *simulation) writeOtherKey() { w.put(w.object.Value, w.object.Version) }

func (w *simulation) advanceTime() {
	step := []time.Duration{time.Second, attempt.DefaultRetention, simWindow}[w.pick(3)]
	if w.now.Add(step).Before(w.end) {
		w.now = w.now.Add(step)
	}
	if w.fault == dropTombstone {
		for _, a := range w.agents {
			w.newTable(a)
		}
	}
}

func (w *simulation) restartRandom(a *simAgent) {
	switch w.pick(4) {
	case 0:
		w.restartAgent(a)
	case 1:
		w.restartRouter(w.pick(simRouters))
	}
}

// hasDuplicateRun reports whether the request of a key has run twice.
func (w *simulation) hasDuplicateRun() bool {
	for _, n := range w.runs {
		if n > 1 {
			return true
		}
	}
	return false
}
