package replica

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/laureltally/laureltally/allocation"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/inflight"
	"github.com/laureltally/laureltally/memory"
	"github.com/laureltally/laureltally/metastore"
)

// actions are the events of spec/grants.pml, and those of memory and time.
var actions = map[string]func(*simulation){
	"plan":         (*simulation).plan,
	"land":         (*simulation).applyLateWrite,
	"limit":        (*simulation).changeLimit,
	"barrier":      (*simulation).barrier,
	"list":         (*simulation).listAllocations,
	"watch":        (*simulation).watchEvent,
	"read engine":  (*simulation).readEngine,
	"need":         (*simulation).addRequirements,
	"release":      (*simulation).releaseLease,
	"order lands":  (*simulation).deliverOrder,
	"order ends":   (*simulation).finishOrder,
	"answer":       (*simulation).response,
	"answer lost":  (*simulation).loseResponse,
	"engine dies":  (*simulation).restartEngine,
	"agent dies":   (*simulation).restartAgent,
	"drain":        (*simulation).drain,
	"VM replaced":  (*simulation).replaceVM,
	"time":         (*simulation).advanceTime,
	"gate opens":   (*simulation).grantPermit,
	"all read":     (*simulation).readAll,
	"engine works": (*simulation).completeOrder,
}

func (w *simulation) plan() {
	w.planModel(w.anyModel())
}

func (w *simulation) planModel(m ident.Model) {
	w.planAt(w.routers[w.pick(len(w.routers))], m)
}

func (w *simulation) planAt(r *simRouter, m ident.Model) {
	r.list += w.pick(len(w.lists) - r.list)
	r.document += w.pick(len(w.documents) - r.document)
	r.tracker.Update(w.lists[r.list], w.now)
	read := w.store.at(m, w.staleVersion())
	next, changed := allocation.Plan(read.alloc, allocation.Input{
		Model: m, DocumentVersion: metastore.Version(r.document + 1), Limit: w.documents[r.document][m],
		Upstream: "u", VMs: r.tracker.VMs(), Removed: r.tracker.Removed,
	})
	if w.simFaults.releaseOnTimeout {
		before := len(next.Slots)
		next.Slots = slices.DeleteFunc(slices.Clone(next.Slots), func(s allocation.Slot) bool { return s.State == allocation.Revoking })
		changed = changed || len(next.Slots) != before
	}
	if changed {
		w.put(simWrite{model: m, alloc: next, expect: read.version})
	}
}

func (w *simulation) applyLateWrite() {
	if len(w.store.late) == 0 {
		return
	}
	i := w.pick(len(w.store.late))
	u := w.store.late[i]
	w.store.late = slices.Delete(w.store.late, i, i+1)
	w.store.put(u, w.simFaults.unconditionalWrite)
}

func (w *simulation) changeLimit() {
	d := maps.Clone(w.documents[len(w.documents)-1])
	d[w.anyModel()] = w.pick(simVMs + 1)
	w.documents = append(w.documents, d)
}

func (w *simulation) barrier() { w.writeBarrier(w.anyVM()) }

func (w *simulation) writeBarrier(v *simVM) {
	if v.machine.barrier == 0 {
		w.store.version++
		v.machine.barrierWritten(w.store.version)
	}
}

func (w *simulation) listAllocations() { w.listAt(w.anyVM(), w.staleVersion()) }

func (w *simulation) listAt(v *simVM, at metastore.Version) {
	slots := make(map[ident.Model]allocation.Slot)
	for _, m := range simModels {
		if s := w.slot(v, w.store.at(m, at).alloc); s.Fence != 0 {
			slots[m] = s
		}
	}
	v.machine.applyListing(at, slots, w.now)
	w.runActions(v)
}

func (w *simulation) watchEvent() {
	v, m := w.anyVM(), w.anyModel()
	if a := w.store.at(m, w.staleVersion()); a.version != 0 {
		v.machine.applyChange(m, w.slot(v, a.alloc), a.version, w.now)
		w.runActions(v)
	}
}

func (w *simulation) readEngine() { w.readState(w.anyVM()) }

func (w *simulation) readState(v *simVM) {
	if v.awaitedOrder == "" {
		v.machine.handleState(v.engine.state(), w.now, w.now)
		w.runActions(v)
	}
}

func (w *simulation) addRequirements() {
	v := w.anyVM()
	n := Requirements{Model: w.anyModel(), Adapter: []ident.Adapter{"", "x", "y"}[w.pick(3)], Priority: ident.Priority(w.pick(2))}
	v.requirements[v.machine.acquire(n, w.now)] = memory.Key{Model: n.Model, Adapter: n.Adapter}
	w.runActions(v)
}

func (w *simulation) releaseLease() {
	v := w.anyVM()
	if len(v.leases) == 0 {
		return
	}
	k := v.leases[0]
	v.leases = v.leases[1:]
	v.machine.released(k, w.now)
	w.runActions(v)
}

func (w *simulation) deliverOrder() {
	if v := w.anyVM(); len(v.transit) > 0 {
		w.deliver(v, w.pick(len(v.transit)))
	}
}

func (w *simulation) finishOrder() {
	if v := w.anyVM(); v.engine.running != nil {
		v.engine.finish(w.pick(4) > 0)
	}
}

func (w *simulation) response() {
	if v := w.anyVM(); v.response != 0 {
		w.respond(v, v.response)
	}
}

func (w *simulation) loseResponse() {
	if v := w.anyVM(); v.awaitedOrder != "" {
		w.respond(v, inflight.ResponseLost)
	}
}

func (w *simulation) respond(v *simVM, r inflight.Response) {
	id := v.awaitedOrder
	v.awaitedOrder, v.response = "", 0
	v.machine.handleResponse(id, r, nil, w.now)
	w.runActions(v)
}

func (w *simulation) restartEngine() { w.anyVM().engine.restart() }

func (w *simulation) restartAgent() { w.startAgent(w.anyVM()) }

func (w *simulation) drain() {
	v := w.anyVM()
	v.machine.drain(w.now)
	w.runActions(v)
}

func (w *simulation) replaceVM() {
	w.vms[w.pick(len(w.vms))] = w.newVM()
	w.publishVMList()
}

// advanceTime moves the clock. An order reaches its engine within the settle
// time or never.
func (w *simulation) advanceTime() {
	steps := []time.Duration{time.Millisecond, time.Second, simSettle, 4 * time.Second}
	next := w.now.Add(steps[w.pick(len(steps))])
	for _, v := range w.vms {
		for i := len(v.transit) - 1; i >= 0; i-- {
			if v.transit[i].sent.Add(simSettle).After(next) {
				continue
			}
			if w.pick(2) == 0 {
				w.deliver(v, i)
			} else {
				v.transit = slices.Delete(v.transit, i, i+1)
			}
		}
	}
	w.now = next
	for _, v := range w.vms {
		v.machine.step(w.now)
		w.runActions(v)
	}
}

// readAll makes every agent read the current store and engine state.
func (w *simulation) readAll() {
	for _, v := range w.vms {
		w.writeBarrier(v)
		w.listAt(v, w.store.version)
		w.readState(v)
	}
}

func (w *simulation) grantPermit() { w.grantPermits(w.anyVM()) }

func (w *simulation) grantPermits(v *simVM) {
	for _, id := range slices.Clone(v.permits) {
		v.machine.permitGranted(id, w.now)
	}
	w.runActions(v)
}

// completeOrder completes the order in flight of one agent successfully.
func (w *simulation) completeOrder() { w.completeOrderAt(w.anyVM()) }

func (w *simulation) completeOrderAt(v *simVM) {
	w.grantPermits(v)
	if len(v.transit) > 0 {
		w.deliver(v, 0)
	}
	if v.response != 0 {
		w.respond(v, v.response)
	}
	if v.engine.running != nil {
		v.engine.finish(true)
	}
	w.readState(v)
}

// warmUp brings a new simulation to a state in which every agent has read its
// slots and its engine state.
func (w *simulation) warmUp() {
	w.now = w.now.Add(simSettle)
	w.pick = func(int) int { return 0 }
	for _, m := range simModels {
		w.planModel(m)
	}
	w.readAll()
}

// converge ends all faults, lets all parts run and returns what does not
// converge.
func (w *simulation) converge() string {
	const rounds = 40
	w.pick = func(int) int { return 0 }
	for range rounds {
		w.now = w.now.Add(time.Second)
		for _, v := range w.vms {
			w.convergeVM(v)
		}
		for i := range w.routers {
			w.convergeRouter(i)
		}
		if broken := w.check(); broken != "" {
			return broken
		}
	}
	return w.unconverged()
}

func (w *simulation) convergeVM(v *simVM) {
	if v.machine.draining {
		w.startAgent(v)
	}
	for len(v.transit) > 0 {
		w.deliver(v, 0)
	}
	if v.awaitedOrder != "" && v.response == 0 {
		w.respond(v, inflight.ResponseLost)
	}
	w.completeOrderAt(v)
	for _, k := range v.leases {
		v.machine.released(k, w.now)
	}
	v.leases = nil
	w.runActions(v)
	w.writeBarrier(v)
	w.listAt(v, w.store.version)
}

// convergeRouter makes one router plan with the newest list and document. Both
// routers have to, since a VM may have been listed to only one of them.
func (w *simulation) convergeRouter(i int) {
	r := w.routers[i]
	r.list, r.document = len(w.lists)-1, len(w.documents)-1
	for _, m := range simModels {
		w.planAt(r, m)
	}
}

func (w *simulation) unconverged() string {
	for _, m := range simModels {
		a := w.store.head(m).alloc
		if limit := w.documents[len(w.documents)-1][m]; len(a.Slots) != limit {
			return fmt.Sprintf("model %s has slots %+v, want %d", m, a.Slots, limit)
		}
	}
	for _, v := range w.vms {
		if n := len(v.machine.waiters); n > 0 {
			return fmt.Sprintf("%d requests wait forever at %s", n, v.id)
		}
		if v.machine.reservations.UsedMB() != 0 || len(v.engine.models) != 0 {
			return fmt.Sprintf("idle models remain loaded at %s", v.id)
		}
	}
	return ""
}
