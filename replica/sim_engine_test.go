package replica

import (
	"fmt"
	"maps"
	"slices"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/inflight"
)

// simEngine is an engine that runs one order at a time and never rejects an
// order for lack of memory, so that overcommitment is detected.
type simEngine struct {
	checksFences bool
	models       map[ident.Model]*engine.ModelState
	fences       map[ident.Model]ident.Fence
	running      *engine.Order
	restarts     int
}

// restart empties the engine. An order in transit may still reach it.
func (e *simEngine) restart() {
	e.restarts++
	e.running = nil
	clear(e.models)
	clear(e.fences)
}

func (e *simEngine) deliver(o engine.Order) inflight.Response {
	if e.running != nil || (e.checksFences && o.Fence < e.fences[o.Model]) {
		return inflight.ResponseRejected
	}
	st := e.models[o.Model]
	switch {
	case o.Kind == engine.OrderLoad && st == nil:
		e.models[o.Model] = &engine.ModelState{Model: o.Model, Phase: engine.PhaseLoading, Fence: o.Fence, MemoryMB: o.MemoryMB}
	case o.Kind == engine.OrderUnload && st != nil:
		st.Phase = engine.PhaseUnloading
	case st == nil:
		return inflight.ResponseRejected
	}
	e.fences[o.Model] = max(e.fences[o.Model], o.Fence)
	e.running = &o
	return inflight.ResponseAccepted
}

func (e *simEngine) finish(ok bool) {
	o := e.running
	e.running = nil
	st := e.models[o.Model]
	switch {
	case o.Kind == engine.OrderLoad && ok:
		st.Phase = engine.PhaseLoaded
	case o.Kind == engine.OrderLoad || (o.Kind == engine.OrderUnload && ok):
		delete(e.models, o.Model)
	case o.Kind == engine.OrderUnload:
		st.Phase = engine.PhaseLoaded
	case o.Kind == engine.OrderLoadAdapter && ok && !slices.Contains(st.Adapters, o.Adapter):
		st.Adapters = append(st.Adapters, o.Adapter)
	case o.Kind == engine.OrderUnloadAdapter && ok:
		st.Adapters = slices.DeleteFunc(st.Adapters, func(a ident.Adapter) bool { return a == o.Adapter })
	}
}

func (e *simEngine) usedMB() int64 {
	var sum int64
	for _, m := range e.models {
		sum += m.MemoryMB
		for _, a := range m.Adapters {
			sum += simAdapterMB[a]
		}
	}
	if e.running != nil && e.running.Kind == engine.OrderLoadAdapter {
		sum += e.running.MemoryMB
	}
	return sum
}

func (e *simEngine) state() engine.State {
	s := engine.State{Instance: fmt.Sprint(e.restarts), UsedMB: e.usedMB()}
	for _, m := range slices.Sorted(maps.Keys(e.models)) {
		st := *e.models[m]
		st.Adapters = slices.Clone(st.Adapters)
		s.Models = append(s.Models, st)
	}
	if e.running != nil {
		s.RunningOrders = []string{e.running.ID}
	}
	return s
}
