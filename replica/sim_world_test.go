package replica

import (
	"fmt"
	"slices"
	"time"

	"github.com/laureltally/laureltally/allocation"
	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/memory"
	"github.com/laureltally/laureltally/metastore"
)

const (
	simVMs      = 3
	simSettle   = 2 * time.Second
	simMemoryMB = 100
	simModelMB  = 60
	// simStale is how many versions old a read may be.
	simStale = 8
)

var (
	simModels    = []ident.Model{"a", "b"}
	simAdapterMB = map[ident.Adapter]int64{"x": 15, "y": 30}
)

// simFlaws switches protections outside the machine off.
type simFlaws struct {
	freeOnTimeout bool
	blindWrite    bool
	slotByAddress bool
	noSettle      bool
}

// simRouter is one planner with its own, lagging knowledge.
type simRouter struct {
	roster   *allocation.VMTracker
	list     int
	document int
}

// world is the store, the planners, the agents and the engines, with every
// fault as an action. Pick draws a number below n.
type world struct {
	pick      func(n int) int
	flaws     flaws
	simFlaws  simFlaws
	now       time.Time
	store     simStore
	vms       []*simVM
	born      int
	lists     [][]metastore.VM
	documents []map[ident.Model]int
	routers   []*simRouter
	lives     uint64
	leased    int
	cut       bool
}

func newWorld(f flaws, sf simFlaws) *world {
	w := &world{flaws: f, simFlaws: sf, now: time.Unix(1_000_000, 0)}
	w.store.history = make(map[ident.Model][]simGrant)
	w.documents = []map[ident.Model]int{{"a": 1, "b": 2}}
	for range simVMs {
		w.vms = append(w.vms, w.newVM())
	}
	w.list()
	for range 2 {
		w.routers = append(w.routers, &simRouter{roster: allocation.NewVMTracker("router", 0, 0)})
	}
	return w
}

func (w *world) newVM() *simVM {
	w.born++
	v := &simVM{id: ident.VM(fmt.Sprintf("vm%d", w.born))}
	v.engine = &simEngine{
		checksFences: w.born%2 == 0,
		models:       make(map[ident.Model]*engine.ModelState),
		fences:       make(map[ident.Model]ident.Fence),
	}
	w.boot(v)
	return v
}

// boot starts a new incarnation of the agent on v.
func (w *world) boot(v *simVM) {
	w.lives++
	settle := simSettle
	if w.simFlaws.noSettle {
		settle = 0
	}
	v.machine = newMachine(machineOptions{
		incarnation: ident.Incarnation(w.lives), spec: simSpec, policy: simPolicy{}, memoryMB: simMemoryMB,
		gated: w.lives%2 == 0, settle: settle, memoryWait: time.Second, loadRetry: time.Second, writeRetry: time.Second, flaws: w.flaws,
	}, w.now)
	v.awaiting, v.answer, v.leases = "", 0, nil
	v.needs, v.gates = make(map[uint64]memory.Key), nil
}

func simSpec(m ident.Model) (config.Model, bool) {
	return config.Model{Name: m, MemoryMB: simModelMB, Adapters: []config.Adapter{{Name: "x", MemoryMB: simAdapterMB["x"]}, {Name: "y", MemoryMB: simAdapterMB["y"]}}}, true
}

// list appends the true list of VMs to what readers may come to see.
func (w *world) list() {
	l := []metastore.VM{{ID: "router", Role: metastore.RoleRouter}}
	for i, v := range w.vms {
		l = append(l, metastore.VM{ID: v.id, Role: metastore.RoleAgent, Upstream: "u", Region: ident.Region(fmt.Sprint(i % 2))})
	}
	w.lists = append(w.lists, l)
}

func (w *world) anyVM() *simVM { return w.vms[w.pick(len(w.vms))] }

func (w *world) anyModel() ident.Model { return simModels[w.pick(len(simModels))] }

// staleVersion draws a version that a read may reflect.
func (w *world) staleVersion() metastore.Version {
	return w.store.version - min(metastore.Version(w.pick(simStale)), w.store.version)
}

func (w *world) slot(v *simVM, g allocation.Allocation) allocation.Slot {
	s, ok := g.Slot(v.id)
	if !ok && w.simFlaws.slotByAddress {
		// The VM takes the slot of the one that had its address before it.
		for i, x := range w.vms {
			if x == v && len(g.Slots) > 0 {
				s = g.Slots[i%len(g.Slots)]
			}
		}
	}
	return s
}

// settle carries the machine's actions out until none are left.
func (w *world) settle(v *simVM) {
	for actions := v.machine.take(); len(actions) > 0; actions = v.machine.take() {
		for _, a := range actions {
			w.perform(v, a)
		}
	}
}

func (w *world) perform(v *simVM, a action) {
	switch a := a.(type) {
	case submitOrder:
		w.cut = w.cut || cuts(v, a.order)
		v.transit = append(v.transit, simOrder{order: a.order, sent: w.now})
		v.awaiting, v.answer = a.order.ID, 0
	case writeGrant:
		w.writeSlot(v, a)
	case openGate:
		v.gates = append(v.gates, a.id)
	case closeGate:
		v.gates = slices.DeleteFunc(v.gates, func(id uint64) bool { return id == a.id })
	case resolveWaiter:
		if a.err == nil {
			v.leases = append(v.leases, v.needs[a.id])
			w.leased++
		}
	}
}

// cuts tells whether an order takes away what a request runs on.
func cuts(v *simVM, o engine.Order) bool {
	return slices.ContainsFunc(v.leases, func(k memory.Key) bool {
		if o.Kind == engine.OrderUnloadAdapter {
			return k == memory.Key{Model: o.Model, Adapter: o.Adapter}
		}
		return o.Kind == engine.OrderUnload && k.Model == o.Model
	})
}

// writeSlot reads the grant, perhaps stale, and updates it; the update may
// fail, land late or lose its answer.
func (w *world) writeSlot(v *simVM, a writeGrant) {
	read := w.store.at(a.model, w.staleVersion())
	if next, ok := a.apply(read.grant, v.id); ok {
		if n, ok := w.put(simWrite{model: a.model, grant: next, expect: read.version}); ok {
			v.machine.changed(a.model, w.slot(v, n.grant), n.version, w.now)
		}
	}
	v.machine.wrote(a.model, w.now)
}

// put tries a conditional update and tells whether its success became known.
func (w *world) put(u simWrite) (simGrant, bool) {
	const (
		answered = iota
		answerLost
		late
		outcomes
	)
	switch w.pick(outcomes) {
	case answered:
		return w.store.put(u, w.simFlaws.blindWrite)
	case answerLost:
		w.store.put(u, w.simFlaws.blindWrite)
	case late:
		w.store.late = append(w.store.late, u)
	}
	return simGrant{}, false
}

func (w *world) deliver(v *simVM, i int) {
	o := v.transit[i]
	v.transit = slices.Delete(v.transit, i, i+1)
	answer := v.engine.deliver(o.order)
	if o.order.ID == v.awaiting {
		v.answer = answer
	}
}

// check returns the violated invariant, or nothing.
func (w *world) check() string {
	if w.store.raised {
		return "a write gave a model more slots than its limit"
	}
	if w.cut {
		return "an unload was ordered under a running request"
	}
	for _, v := range w.vms {
		for m := range v.engine.models {
			if _, ok := w.store.head(m).grant.Slot(v.id); !ok {
				return fmt.Sprintf("model %s is in the engine of %s without a slot: more replicas than decided", m, v.id)
			}
		}
		if used := v.engine.usedMB(); used > simMemoryMB {
			return fmt.Sprintf("engine of %s holds %d of %d MiB", v.id, used, simMemoryMB)
		}
	}
	return ""
}

// simPolicy keeps idle models for three seconds and evicts in name order.
type simPolicy struct{}

func (simPolicy) Observe(ident.Model, time.Time) {}

func (simPolicy) KeepUntil(_ ident.Model, lastUsed time.Time) time.Time {
	return lastUsed.Add(3 * time.Second)
}

func (simPolicy) EvictOrder(idle []ident.Model, _ time.Time) []ident.Model { return idle }
