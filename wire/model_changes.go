package wire

import (
	"cmp"
	"slices"

	"github.com/laureltally/laureltally/engine"
)

// DiffModels lists what differs between two lists of models, both sorted by name:
// new or changed models as they are now, and for those that are gone their name
// alone. A model that is being loaded is always listed, since its ReadyIn passes.
func DiffModels(before, now []ModelReport) []ModelReport {
	var out []ModelReport
	for _, m := range now {
		i, found := findModel(before, m)
		if !found || !before[i].SameState(m) || m.Phase == engine.PhaseLoading {
			out = append(out, m)
		}
	}
	for _, m := range before {
		if _, found := findModel(now, m); !found {
			out = append(out, ModelReport{Model: m.Model})
		}
	}
	slices.SortFunc(out, byModel)
	return out
}

// ApplyModelChanges returns the list that changes make of an earlier one.
func ApplyModelChanges(before, changes []ModelReport) []ModelReport {
	if len(changes) == 0 {
		return before
	}
	out := make([]ModelReport, 0, len(before)+len(changes))
	for _, m := range before {
		if _, changed := findModel(changes, m); !changed {
			out = append(out, m)
		}
	}
	for _, m := range changes {
		if !m.gone() {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, byModel)
	return out
}

func findModel(list []ModelReport, m ModelReport) (int, bool) {
	return slices.BinarySearchFunc(list, m, byModel)
}

func byModel(a, b ModelReport) int { return cmp.Compare(a.Model, b.Model) }
