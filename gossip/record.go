package gossip

import (
	"cmp"
	"container/list"
	"maps"
	"math/bits"
	"slices"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/wire"
)

// record is what a view tells of one process, and at which positions of the log
// its parts last changed.
type record struct {
	report wire.Report
	models map[ident.Model]wire.ModelReport
	// untold is a later report of the process that says nothing worth telling.
	untold *wire.Report
	// last is the position of the newest change, and configs that of the
	// versions in force.
	last    uint64
	configs uint64
	// changed has each model's position, those no longer reported included.
	changed map[ident.Model]uint64
	// states lists the newest states of this incarnation, oldest first.
	states []state
	// place is the record's element in the view's order.
	place *list.Element
}

func newRecord() *record {
	return &record{models: make(map[ident.Model]wire.ModelReport), changed: make(map[ident.Model]uint64)}
}

// whole returns the full report.
func (r *record) whole() wire.Report {
	out := r.report
	out.Models = slices.SortedFunc(maps.Values(r.models), compareModels)
	return out
}

// maxStates bounds the states that a delta can be made from.
const maxStates = 8

// bases returns the numbers of the states from the one at a position on, the
// newest left out, or none if that one is no longer known.
func (r *record) bases(position uint64) []uint64 {
	var out []uint64
	for i := len(r.states) - 1; i >= 0; i-- {
		if i < len(r.states)-1 {
			out = append(out, r.states[i].seq)
		}
		if r.states[i].position <= position {
			return out
		}
	}
	return nil
}

// since returns what changed after a position.
func (r *record) since(position uint64) wire.Report {
	bases := r.bases(position)
	if len(bases) == 0 {
		return r.whole()
	}
	out := wire.Report{
		VM: r.report.VM, Incarnation: r.report.Incarnation, Seq: r.report.Seq,
		Draining: r.report.Draining, FreeMB: r.report.FreeMB, Running: r.report.Running,
		Waiting: r.report.Waiting, Concurrency: r.report.Concurrency, BaseSeqs: bases,
		WaitingByPriority: r.report.WaitingByPriority, RunTime: r.report.RunTime,
	}
	if r.configs > position {
		out.Configs = r.report.Configs
	}
	for name, at := range r.changed {
		if at <= position {
			continue
		}
		m, ok := r.models[name]
		if !ok {
			m = wire.ModelReport{Model: name}
		}
		out.Models = append(out.Models, m)
	}
	slices.SortFunc(out.Models, compareModels)
	return out
}

// merge returns the full report that a delta makes of this record.
func (r *record) merge(d wire.Report) wire.Report {
	out := r.report
	out.Seq, out.Draining, out.FreeMB = d.Seq, d.Draining, d.FreeMB
	out.Running, out.Waiting, out.Concurrency = d.Running, d.Waiting, d.Concurrency
	out.WaitingByPriority, out.RunTime = d.WaitingByPriority, d.RunTime
	if d.Configs != nil {
		out.Configs = d.Configs
	}
	models := maps.Clone(r.models)
	for _, m := range d.Models {
		if absent(m) {
			delete(models, m.Model)
			continue
		}
		models[m.Model] = m
	}
	out.Models = slices.SortedFunc(maps.Values(models), compareModels)
	return out
}

// absent tells whether an entry of a delta stands for a model that is no longer
// reported.
func absent(m wire.ModelReport) bool { return m.Phase == "" && m.Tier == "" && m.Fence == 0 }

// worth tells whether a later report of the same incarnation is told to others.
func (r *record) worth(next wire.Report, models map[ident.Model]wire.ModelReport, loads bool) bool {
	was := r.report
	if was.Draining != next.Draining || was.Concurrency != next.Concurrency {
		return true
	}
	if loads && (loadClass(was.Running) != loadClass(next.Running) || loadClass(was.Waiting) != loadClass(next.Waiting)) {
		return true
	}
	return !maps.Equal(was.Configs, next.Configs) || !maps.EqualFunc(r.models, models, sameModel)
}

// store takes a full report at a position of the log.
func (r *record) store(next wire.Report, models map[ident.Model]wire.ModelReport, position uint64) {
	if r.report.Incarnation != next.Incarnation {
		r.states = nil
	}
	if !maps.Equal(r.report.Configs, next.Configs) {
		r.configs = position
	}
	for name, m := range models {
		if was, ok := r.models[name]; !ok || !sameModel(was, m) {
			r.changed[name] = position
		}
	}
	for name := range r.models {
		if _, ok := models[name]; !ok {
			r.changed[name] = position
		}
	}
	r.report, r.models, r.last = next, models, position
	r.report.Models, r.report.BaseSeqs = nil, nil
	r.states = append(r.states, state{position: position, seq: next.Seq})
	if len(r.states) > maxStates {
		r.states = r.states[1:]
	}
	if r.untold != nil && (r.untold.Incarnation != next.Incarnation || r.untold.Seq <= next.Seq) {
		r.untold = nil
	}
}

// told returns the part of a report's models that is told: not the counts.
func told(models []wire.ModelReport) map[ident.Model]wire.ModelReport {
	out := make(map[ident.Model]wire.ModelReport, len(models))
	for _, m := range models {
		m.Running, m.Waiting = 0, 0
		if !absent(m) {
			out[m.Model] = m
		}
	}
	return out
}

func sameModel(a, b wire.ModelReport) bool {
	return a.Phase == b.Phase && a.Tier == b.Tier && a.Fence == b.Fence && slices.Equal(a.Adapters, b.Adapters)
}

func compareModels(a, b wire.ModelReport) int { return cmp.Compare(a.Model, b.Model) }

// loadClass is the power of two that a number of requests reaches.
func loadClass(n int) int { return bits.Len(uint(max(0, n))) }
