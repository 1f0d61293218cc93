package allocation

import (
	"fmt"
	"testing"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
)

// BenchmarkReconcileUnchanged measures the search for due writes over 140
// models with 11 slots each on 1,600 VMs, none of which needs a write.
func BenchmarkReconcileUnchanged(b *testing.B) {
	const models, replicas = 140, 11
	p, err := NewPlanner(Options{Environment: "env", Self: "r0", Incarnation: 1, Store: unusedStore{}})
	if err != nil {
		b.Fatal(err)
	}
	p.SetDocument(1, document(models, replicas))
	p.SetVMs(fleet(1600))
	p.view.Replace(nil, 1)
	bytes := 0
	for i := range models {
		m := ident.Model(fmt.Sprint("m", i))
		a, _, _ := p.plan(m)
		value, err := a.Encode()
		if err != nil {
			b.Fatal(err)
		}
		bytes = max(bytes, len(value))
		p.view.Apply(metastore.Object{Key: Key("env", m), Value: value, Version: 2})
	}
	for b.Loop() {
		if due, next := p.dueModels(); len(due) != 0 || !next.IsZero() {
			b.Fatal("a write is due")
		}
	}
	b.ReportMetric(float64(bytes), "B/grant")
}

// BenchmarkInitialPlan measures the first plan of one model with 11 replicas on
// 1,600 VMs.
func BenchmarkInitialPlan(b *testing.B) {
	vms := make(map[ident.VM]metastore.VM)
	for _, v := range fleet(1600) {
		vms[v.ID] = v
	}
	in := Input{Model: "m", DocumentVersion: 1, Limit: 11, Upstream: "u", VMs: vms, Removed: func(ident.VM) bool { return false }}
	for b.Loop() {
		if _, changed := Plan(Allocation{}, in); !changed {
			b.Fatal("nothing planned")
		}
	}
}

// unusedStore is a store that is never called.
type unusedStore struct{ metastore.Store }
