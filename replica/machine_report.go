package replica

import (
	"slices"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/wire"
)

// report lists the models that are loaded, may be loaded or are waited for, by
// name.
func (m *machine) report() []wire.ModelReport {
	waiting := make(map[ident.Model]int)
	for _, w := range m.waiters {
		waiting[w.need.Model]++
	}
	var reports []wire.ModelReport
	for _, s := range m.sorted() {
		if s.phase == "" && s.right() == 0 && waiting[s.name] == 0 {
			continue
		}
		r := wire.ModelReport{Model: s.name, Phase: s.phase, Tier: s.tier, Fence: s.right(), Running: s.running, Waiting: waiting[s.name]}
		for a := range s.adapters {
			r.Adapters = append(r.Adapters, a)
		}
		slices.Sort(r.Adapters)
		reports = append(reports, r)
	}
	return reports
}
