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
var actions = map[string]func(*world){
	"plan":         (*world).plan,
	"land":         (*world).land,
	"limit":        (*world).changeLimit,
	"barrier":      (*world).barrier,
	"list":         (*world).listGrants,
	"watch":        (*world).watchEvent,
	"read engine":  (*world).readEngine,
	"need":         (*world).need,
	"release":      (*world).releaseLease,
	"order lands":  (*world).orderLands,
	"order ends":   (*world).orderEnds,
	"answer":       (*world).answer,
	"answer lost":  (*world).answerLost,
	"engine dies":  (*world).engineDies,
	"agent dies":   (*world).agentDies,
	"drain":        (*world).drain,
	"VM replaced":  (*world).replaceVM,
	"time":         (*world).passTime,
	"gate opens":   (*world).gateOpens,
	"all read":     (*world).allRead,
	"engine works": (*world).engineWorks,
}

func (w *world) plan() {
	w.planModel(w.anyModel())
}

func (w *world) planModel(m ident.Model) {
	w.planAt(w.routers[w.pick(len(w.routers))], m)
}

func (w *world) planAt(r *simRouter, m ident.Model) {
	r.list += w.pick(len(w.lists) - r.list)
	r.document += w.pick(len(w.documents) - r.document)
	r.roster.Update(w.lists[r.list], w.now)
	read := w.store.at(m, w.staleVersion())
	next, changed := allocation.Plan(read.grant, allocation.Input{
		Model: m, DocumentVersion: metastore.Version(r.document + 1), Limit: w.documents[r.document][m],
		Upstream: "u", VMs: r.roster.VMs(), Removed: r.roster.Removed,
	})
	if w.simFlaws.freeOnTimeout {
		before := len(next.Slots)
		next.Slots = slices.DeleteFunc(slices.Clone(next.Slots), func(s allocation.Slot) bool { return s.State == allocation.Revoking })
		changed = changed || len(next.Slots) != before
	}
	if changed {
		w.put(simWrite{model: m, grant: next, expect: read.version})
	}
}

func (w *world) land() {
	if len(w.store.late) == 0 {
		return
	}
	i := w.pick(len(w.store.late))
	u := w.store.late[i]
	w.store.late = slices.Delete(w.store.late, i, i+1)
	w.store.put(u, w.simFlaws.blindWrite)
}

func (w *world) changeLimit() {
	d := maps.Clone(w.documents[len(w.documents)-1])
	d[w.anyModel()] = w.pick(simVMs + 1)
	w.documents = append(w.documents, d)
}

func (w *world) barrier() { w.writeBarrier(w.anyVM()) }

func (w *world) writeBarrier(v *simVM) {
	if v.machine.barrier == 0 {
		w.store.version++
		v.machine.barrierWritten(w.store.version)
	}
}

func (w *world) listGrants() { w.listAt(w.anyVM(), w.staleVersion()) }

func (w *world) listAt(v *simVM, at metastore.Version) {
	slots := make(map[ident.Model]allocation.Slot)
	for _, m := range simModels {
		if s := w.slot(v, w.store.at(m, at).grant); s.Fence != 0 {
			slots[m] = s
		}
	}
	v.machine.listing(at, slots, w.now)
	w.settle(v)
}

func (w *world) watchEvent() {
	v, m := w.anyVM(), w.anyModel()
	if g := w.store.at(m, w.staleVersion()); g.version != 0 {
		v.machine.changed(m, w.slot(v, g.grant), g.version, w.now)
		w.settle(v)
	}
}

func (w *world) readEngine() { w.readState(w.anyVM()) }

func (w *world) readState(v *simVM) {
	if v.awaiting == "" {
		v.machine.observed(v.engine.state(), w.now, w.now)
		w.settle(v)
	}
}

func (w *world) need() {
	v := w.anyVM()
	n := Requirements{Model: w.anyModel(), Adapter: []ident.Adapter{"", "x", "y"}[w.pick(3)], Priority: ident.Priority(w.pick(2))}
	v.needs[v.machine.acquire(n, w.now)] = memory.Key{Model: n.Model, Adapter: n.Adapter}
	w.settle(v)
}

func (w *world) releaseLease() {
	v := w.anyVM()
	if len(v.leases) == 0 {
		return
	}
	k := v.leases[0]
	v.leases = v.leases[1:]
	v.machine.released(k, w.now)
	w.settle(v)
}

func (w *world) orderLands() {
	if v := w.anyVM(); len(v.transit) > 0 {
		w.deliver(v, w.pick(len(v.transit)))
	}
}

func (w *world) orderEnds() {
	if v := w.anyVM(); v.engine.running != nil {
		v.engine.finish(w.pick(4) > 0)
	}
}

func (w *world) answer() {
	if v := w.anyVM(); v.answer != 0 {
		w.tell(v, v.answer)
	}
}

func (w *world) answerLost() {
	if v := w.anyVM(); v.awaiting != "" {
		w.tell(v, inflight.ResponseLost)
	}
}

func (w *world) tell(v *simVM, a inflight.Response) {
	id := v.awaiting
	v.awaiting, v.answer = "", 0
	v.machine.answered(id, a, nil, w.now)
	w.settle(v)
}

func (w *world) engineDies() { w.anyVM().engine.restart() }

func (w *world) agentDies() { w.boot(w.anyVM()) }

func (w *world) drain() {
	v := w.anyVM()
	v.machine.drain(w.now)
	w.settle(v)
}

func (w *world) replaceVM() {
	w.vms[w.pick(len(w.vms))] = w.newVM()
	w.list()
}

// passTime moves the clock. An order reaches its engine within the settle time
// or never.
func (w *world) passTime() {
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
		w.settle(v)
	}
}

// allRead lets every agent catch up with the store and its engine.
func (w *world) allRead() {
	for _, v := range w.vms {
		w.writeBarrier(v)
		w.listAt(v, w.store.version)
		w.readState(v)
	}
}

func (w *world) gateOpens() { w.openGates(w.anyVM()) }

func (w *world) openGates(v *simVM) {
	for _, id := range slices.Clone(v.gates) {
		v.machine.gateOpened(id, w.now)
	}
	w.settle(v)
}

// engineWorks carries the open order of one agent to its good end.
func (w *world) engineWorks() { w.work(w.anyVM()) }

func (w *world) work(v *simVM) {
	w.openGates(v)
	if len(v.transit) > 0 {
		w.deliver(v, 0)
	}
	if v.answer != 0 {
		w.tell(v, v.answer)
	}
	if v.engine.running != nil {
		v.engine.finish(true)
	}
	w.readState(v)
}

// warm brings a new world to where every agent knows its slots and its engine.
func (w *world) warm() {
	w.now = w.now.Add(simSettle)
	w.pick = func(int) int { return 0 }
	for _, m := range simModels {
		w.planModel(m)
	}
	w.allRead()
}

// heal ends all faults, lets everybody catch up and returns what does not
// converge.
func (w *world) heal() string {
	const rounds = 40
	w.pick = func(int) int { return 0 }
	for range rounds {
		w.now = w.now.Add(time.Second)
		for _, v := range w.vms {
			w.healVM(v)
		}
		for i := range w.routers {
			w.healRouter(i)
		}
		if broken := w.check(); broken != "" {
			return broken
		}
	}
	return w.unhealed()
}

func (w *world) healVM(v *simVM) {
	if v.machine.draining {
		w.boot(v)
	}
	for len(v.transit) > 0 {
		w.deliver(v, 0)
	}
	if v.awaiting != "" && v.answer == 0 {
		w.tell(v, inflight.ResponseLost)
	}
	w.work(v)
	for _, k := range v.leases {
		v.machine.released(k, w.now)
	}
	v.leases = nil
	w.settle(v)
	w.writeBarrier(v)
	w.listAt(v, w.store.version)
}

// healRouter lets one router plan with all that is known. Both have to, since
// a VM may have been seen by one of them only.
func (w *world) healRouter(i int) {
	r := w.routers[i]
	r.list, r.document = len(w.lists)-1, len(w.documents)-1
	for _, m := range simModels {
		w.planAt(r, m)
	}
}

func (w *world) unhealed() string {
	for _, m := range simModels {
		g := w.store.head(m).grant
		if limit := w.documents[len(w.documents)-1][m]; len(g.Slots) != limit {
			return fmt.Sprintf("model %s has %+v, want %d slots", m, g.Slots, limit)
		}
	}
	for _, v := range w.vms {
		if n := len(v.machine.waiters); n > 0 {
			return fmt.Sprintf("%d needs wait at %s for ever", n, v.id)
		}
		if v.machine.ledger.UsedMB() != 0 || len(v.engine.models) != 0 {
			return fmt.Sprintf("idle models stay at %s", v.id)
		}
	}
	return ""
}
