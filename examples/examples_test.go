package examples

import (
	"testing"

	"github.com/laureltally/laureltally/config"
)

func TestDocumentsMatchDeploymentSizes(t *testing.T) {
	tests := []struct {
		text             []byte
		store            config.WeightStore
		prefersColdStart bool
	}{
		{Muotiennuste, config.WeightStore{LoadsPerSecond: 5, ParallelLoads: 4, ParallelAdapters: 32}, true},
		{Nordfjell, config.WeightStore{LoadsPerSecond: 3, ParallelLoads: 4, ParallelAdapters: 32}, false},
	}
	for _, tt := range tests {
		d, err := config.ReadDocument(tt.text)
		if err != nil {
			t.Fatal(err)
		}
		adapters := 0
		for _, m := range d.Models {
			adapters += len(m.Adapters)
		}
		if len(d.Models) != 65 || adapters != 75 || len(d.Regions) != 3 || len(d.Priorities) != 3 {
			t.Errorf("%s: %d models, %d adapters, %d regions", d.Environment, len(d.Models), adapters, len(d.Regions))
		}
		if d.Upstreams[0].Replicas != 12 || d.Upstreams[1].Replicas != 3 || d.Store != tt.store {
			t.Errorf("%s: upstreams %+v, store %+v", d.Environment, d.Upstreams, d.Store)
		}
		if prefersColdStart := d.Aim.ColdStart > d.Aim.IdleHours; prefersColdStart != tt.prefersColdStart {
			t.Errorf("%s: aim %+v", d.Environment, d.Aim)
		}
	}
}

func TestSettingsAreValid(t *testing.T) {
	if _, err := config.ReadRouterSettings(Router); err != nil {
		t.Error(err)
	}
	for _, text := range [][]byte{AgentEngine, AgentService} {
		if _, err := config.ReadAgentSettings(text); err != nil {
			t.Error(err)
		}
	}
}
