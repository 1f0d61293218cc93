package wire

import (
	"cmp"
	"slices"

	"github.com/laureltally/laureltally/engine"
)

// DiffModels returns the differences between two lists of models, both sorted by
// name: new or changed models as they are in now, and removed models with their name
// only. A model that is loading is always included, since its ReadyIn changes.
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

// ApplyModelChanges applies the result of DiffModels to an earlier list and returns
// the new list.
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
		if !m.removed() {
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
