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

// record is the published state of one process, with the log positions at which
// its parts last changed.
type record struct {
	report wire.Report
	models map[ident.Model]wire.ModelReport
	// unpublished is a later report of the process that was not worth publishing.
	unpublished *wire.Report
	// lastChange is the position of the latest change, and configsChange that of
	// the configuration versions.
	lastChange    uint64
	configsChange uint64
	// changed holds the position of each model's latest change, also of models that
	// are no longer reported.
	changed map[ident.Model]uint64
	// states lists the latest states of this incarnation, oldest first.
	states []state
	// element is the record's element in View.order.
	element *list.Element
}

func newRecord() *record {
	return &record{models: make(map[ident.Model]wire.ModelReport), changed: make(map[ident.Model]uint64)}
}

// full returns the full report.
func (r *record) full() wire.Report {
	out := r.report
	out.Models = slices.SortedFunc(maps.Values(r.models), compareModels)
	return out
}

// maxStates bounds the states that a delta can be based on.
const maxStates = 8

// baseSeqs returns the sequence numbers of the states from the one at a
// position on, without the latest, or nil if that state is no longer stored.
func (r *record) baseSeqs(position uint64) []uint64 {
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

// deltaSince returns the changes after a position, or the full report if the
// state at that position is no longer stored.
func (r *record) deltaSince(position uint64) wire.Report {
	baseSeqs := r.baseSeqs(position)
	if len(baseSeqs) == 0 {
		return r.full()
	}
	out := wire.Report{
		VM: r.report.VM, Incarnation: r.report.Incarnation, Seq: r.report.Seq,
		Draining: r.report.Draining, FreeMB: r.report.FreeMB, Running: r.report.Running,
		Waiting: r.report.Waiting, Concurrency: r.report.Concurrency, BaseSeqs: baseSeqs,
		WaitingByPriority: r.report.WaitingByPriority, RunTime: r.report.RunTime,
	}
	if r.configsChange > position {
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

// merge returns the full report that results from a delta to this record.
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
		if isRemoval(m) {
			delete(models, m.Model)
			continue
		}
		models[m.Model] = m
	}
	out.Models = slices.SortedFunc(maps.Values(models), compareModels)
	return out
}

// isRemoval reports whether an entry of a delta marks a model that is no longer
// reported.
func isRemoval(m wire.ModelReport) bool { return m.Phase == "" && m.Tier == "" && m.Fence == 0 }

// worthPublishing reports whether a later report of the same incarnation is
// published to other routers.
func (r *record) worthPublishing(next wire.Report, models map[ident.Model]wire.ModelReport, loadClasses bool) bool {
	was := r.report
	if was.Draining != next.Draining || was.Concurrency != next.Concurrency {
		return true
	}
	if loadClasses && (loadClass(was.Running) != loadClass(next.Running) || loadClass(was.Waiting) != loadClass(next.Waiting)) {
		return true
	}
	return !maps.Equal(was.Configs, next.Configs) || !maps.EqualFunc(r.models, models, sameModel)
}

// store replaces the record by a full report, at a position of the log.
func (r *record) store(next wire.Report, models map[ident.Model]wire.ModelReport, position uint64) {
	if r.report.Incarnation != next.Incarnation {
		r.states = nil
	}
	if !maps.Equal(r.report.Configs, next.Configs) {
		r.configsChange = position
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
	r.report, r.models, r.lastChange = next, models, position
	r.report.Models, r.report.BaseSeqs = nil, nil
	r.states = append(r.states, state{position: position, seq: next.Seq})
	if len(r.states) > maxStates {
		r.states = r.states[1:]
	}
	if r.unpublished != nil && (r.unpublished.Incarnation != next.Incarnation || r.unpublished.Seq <= next.Seq) {
		r.unpublished = nil
	}
}

// publishedModels returns the models of a report without their counts, which
// are not published.
func publishedModels(models []wire.ModelReport) map[ident.Model]wire.ModelReport {
	out := make(map[ident.Model]wire.ModelReport, len(models))
	for _, m := range models {
		m.Running, m.Waiting = 0, 0
		if !isRemoval(m) {
			out[m.Model] = m
		}
	}
	return out
}

func sameModel(a, b wire.ModelReport) bool {
	return a.Phase == b.Phase && a.Tier == b.Tier && a.Fence == b.Fence && slices.Equal(a.Adapters, b.Adapters)
}

func compareModels(a, b wire.ModelReport) int { return cmp.Compare(a.Model, b.Model) }

// loadClass returns the number of bits of a request count, which changes at
// each power of two.
func loadClass(n int) int { return bits.Len(uint(max(0, n))) }
