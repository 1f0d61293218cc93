package wire

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
)

// drawModels draws a random subset of ten models, sorted by name.
func drawModels(t *rapid.T, label string) []ModelReport {
	var out []ModelReport
	for i := range 10 {
		if !rapid.Bool().Draw(t, fmt.Sprint(label, i)) {
			continue
		}
		m := ModelReport{Model: ident.Model(fmt.Sprint("m", i)), Tier: engine.TierDisk}
		m.Phase = rapid.SampledFrom([]engine.Phase{"", engine.PhaseLoaded, engine.PhaseLoading}).Draw(t, fmt.Sprint(label, i, "phase"))
		if rapid.Bool().Draw(t, fmt.Sprint(label, i, "adapter")) {
			m.Adapters = []ident.Adapter{"a1"}
		}
		out = append(out, m)
	}
	return out
}

// Applying the changes between any two lists to the first yields the second.
func TestApplyingModelChangesYieldsNewList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before, now := drawModels(t, "before"), drawModels(t, "now")
		got := ApplyModelChanges(before, DiffModels(before, now))
		if len(got) != len(now) {
			t.Fatalf("applying the changes to %v gives %v, want %v", before, got, now)
		}
		for i := range got {
			if !got[i].SameState(now[i]) {
				t.Fatalf("%v, want %v", got[i], now[i])
			}
		}
	})
}

// If one of many models changes its phase, the report lists only that model.
func TestOnlyChangedModelIsListed(t *testing.T) {
	var before []ModelReport
	for i := range 30 {
		before = append(before, ModelReport{Model: ident.Model(fmt.Sprintf("m%02d", i)), Tier: engine.TierDisk})
	}
	now := append([]ModelReport(nil), before...)
	now[7].Phase = engine.PhaseLoaded
	if got := DiffModels(before, now); len(got) != 1 || got[0].Model != "m07" {
		t.Errorf("got %v", got)
	}
}
