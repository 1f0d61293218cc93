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
	// simStale is the maximum age of a read in versions.
	simStale = 8
)

var (
	simModels    = []ident.Model{"a", "b"}
	simAdapterMB = map[ident.Adapter]int64{"x": 15, "y": 30}
)

// simFaults disables protections outside the machine.
type simFaults struct {
	releaseOnTimeout   bool
	unconditionalWrite bool
	slotByAddress      bool
	noSettle           bool
}

// simRouter is one planner with its own, outdated list and document.
type simRouter struct {
	tracker  *allocation.VMTracker
	list     int
	document int
}

// simulation consists of the store, the planners, the agents and the engines,
// with every fault as an action. pick returns a number below n.
type simulation struct {
	pick               func(n int) int
	faults             faults
	simFaults          simFaults
	now                time.Time
	store              simStore
	vms                []*simVM
	vmCount            int
	lists              [][]metastore.VM
	documents          []map[ident.Model]int
	routers            []*simRouter
	incarnations       uint64
	leaseCount         int
	requestInterrupted bool
}

func newSimulation(f faults, sf simFaults) *simulation {
	w := &simulation{faults: f, simFaults: sf, now: time.Unix(1_000_000, 0)}
	w.store.history = make(map[ident.Model][]simAllocation)
	w.documents = []map[ident.Model]int{{"a": 1, "b": 2}}
	for range simVMs {
		w.vms = append(w.vms, w.newVM())
	}
	w.publishVMList()
	for range 2 {
		w.routers = append(w.routers, &simRouter{tracker: allocation.NewVMTracker("router", 0, 0)})
	}
	return w
}

func (w *simulation) newVM() *simVM {
	w.vmCount++
	v := &simVM{id: ident.VM(fmt.Sprintf("vm%d", w.vmCount))}
	v.engine = &simEngine{
		checksFences: w.vmCount%2 == 0,
		models:       make(map[ident.Model]*engine.ModelState),
		fences:       make(map[ident.Model]ident.Fence),
	}
	w.startAgent(v)
	return v
}

// startAgent starts a new incarnation of the agent on v.
func (w *simulation) startAgent(v *simVM) {
	w.incarnations++
	settleTime := simSettle
	if w.simFaults.noSettle {
		settleTime = 0
	}
	v.machine = newMachine(machineOptions{
		incarnation: ident.Incarnation(w.incarnations), spec: simSpec, policy: simPolicy{}, memoryMB: simMemoryMB,
		limitLoads: w.incarnations%2 == 0, settleTime: settleTime, memoryWait: time.Second, loadRetry: time.Second, writeRetry: time.Second, faults: w.faults,
	}, w.now)
	v.awaitedOrder, v.response, v.leases = "", 0, nil
	v.requirements, v.permits = make(map[uint64]memory.Key), nil
}

func simSpec(m ident.Model) (config.Model, bool) {
	return config.Model{Name: m, MemoryMB: simModelMB, Adapters: []config.Adapter{{Name: "x", MemoryMB: simAdapterMB["x"]}, {Name: "y", MemoryMB: simAdapterMB["y"]}}}, true
}

// publishVMList appends the current list of VMs to those that readers may see.
func (w *simulation) publishVMList() {
	l := []metastore.VM{{ID: "router", Role: metastore.RoleRouter}}
	for i, v := range w.vms {
		l = append(l, metastore.VM{ID: v.id, Role: metastore.RoleAgent, Upstream: "u", Region: ident.Region(fmt.Sprint(i % 2))})
	}
	w.lists = append(w.lists, l)
}

func (w *simulation) anyVM() *simVM { return w.vms[w.pick(len(w.vms))] }

func (w *simulation) anyModel() ident.Model { return simModels[w.pick(len(simModels))] }

// staleVersion returns a random version that a read may reflect.
func (w *simulation) staleVersion() metastore.Version {
	return w.store.version - min(metastore.Version(w.pick(simStale)), w.store.version)
}

func (w *simulation) slot(v *simVM, a allocation.Allocation) allocation.Slot {
	s, ok := a.Slot(v.id)
	if !ok && w.simFaults.slotByAddress {
		// The VM takes the slot of the one that had its address before it.
		for i, x := range w.vms {
			if x == v && len(a.Slots) > 0 {
				s = a.Slots[i%len(a.Slots)]
			}
		}
	}
	return s
}

// runActions carries out the machine's actions until none are left.
func (w *simulation) runActions(v *simVM) {
	for actions := v.machine.takeActions(); len(actions) > 0; actions = v.machine.takeActions() {
		for _, a := range actions {
			w.perform(v, a)
		}
	}
}

func (w *simulation) perform(v *simVM, a action) {
	switch a := a.(type) {
	case submitOrder:
		w.requestInterrupted = w.requestInterrupted || interruptsRequest(v, a.order)
		v.transit = append(v.transit, simOrder{order: a.order, sent: w.now})
		v.awaitedOrder, v.response = a.order.ID, 0
	case slotWrite:
		w.writeSlot(v, a)
	case requestPermit:
		v.permits = append(v.permits, a.id)
	case releasePermit:
		v.permits = slices.DeleteFunc(v.permits, func(id uint64) bool { return id == a.id })
	case resolveWaiter:
		if a.err == nil {
			v.leases = append(v.leases, v.requirements[a.id])
			w.leaseCount++
		}
	}
}

// interruptsRequest reports whether an order unloads what a request runs on.
func interruptsRequest(v *simVM, o engine.Order) bool {
	return slices.ContainsFunc(v.leases, func(k memory.Key) bool {
		if o.Kind == engine.OrderUnloadAdapter {
			return k == memory.Key{Model: o.Model, Adapter: o.Adapter}
		}
		return o.Kind == engine.OrderUnload && k.Model == o.Model
	})
}

// writeSlot reads the allocation, possibly stale, and updates it. The update
// may fail, take effect late or lose its response.
func (w *simulation) writeSlot(v *simVM, a slotWrite) {
	read := w.store.at(a.model, w.staleVersion())
	if next, ok := a.apply(read.alloc, v.id); ok {
		if n, ok := w.put(simWrite{model: a.model, alloc: next, expect: read.version}); ok {
			v.machine.applyChange(a.model, w.slot(v, n.alloc), n.version, w.now)
		}
	}
	v.machine.slotWriteDone(a.model, w.now)
}

// put attempts a conditional update and reports whether it is known to have
// succeeded.
func (w *simulation) put(u simWrite) (simAllocation, bool) {
	const (
		responded = iota
		responseLost
		late
		outcomes
	)
	switch w.pick(outcomes) {
	case responded:
		return w.store.put(u, w.simFaults.unconditionalWrite)
	case responseLost:
		w.store.put(u, w.simFaults.unconditionalWrite)
	case late:
		w.store.late = append(w.store.late, u)
	}
	return simAllocation{}, false
}

func (w *simulation) deliver(v *simVM, i int) {
	o := v.transit[i]
	v.transit = slices.Delete(v.transit, i, i+1)
	response := v.engine.deliver(o.order)
	if o.order.ID == v.awaitedOrder {
		v.response = response
	}
}

// check returns the violated invariant, or an empty string.
func (w *simulation) check() string {
	if w.store.limitExceeded {
		return "a write gave a model more slots than its limit"
	}
	if w.requestInterrupted {
		return "an unload was submitted while a request runs on the model or adapter"
	}
	for _, v := range w.vms {
		for m := range v.engine.models {
			if _, ok := w.store.head(m).alloc.Slot(v.id); !ok {
				return fmt.Sprintf("model %s is in the engine of %s without a slot: more replicas than allowed", m, v.id)
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
