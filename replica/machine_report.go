package replica

import (
	"slices"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/wire"
)

// report lists, by name, the models that are loaded, have a usable slot or are
// waited for.
func (m *machine) report() []wire.ModelReport {
	waiting := make(map[ident.Model]int)
	for _, w := range m.waiters {
		waiting[w.required.Model]++
	}
	var reports []wire.ModelReport
	for _, s := range m.sorted() {
		if s.phase == "" && s.usableFence() == 0 && waiting[s.name] == 0 {
			continue
		}
		r := wire.ModelReport{Model: s.name, Phase: s.phase, Tier: s.tier, Fence: s.usableFence(), Running: s.leases, Waiting: waiting[s.name]}
		for a := range s.adapters {
			r.Adapters = append(r.Adapters, a)
		}
		slices.Sort(r.Adapters)
		reports = append(reports, r)
	}
	return reports
}
