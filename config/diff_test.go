package config

import (
	"reflect"
	"testing"
)

func TestDiff(t *testing.T) {
	tests := []struct {
		name   string
		change func(*Document)
		want   []Change
	}{
		{"nothing", func(*Document) {}, nil},
		{"order of models", func(d *Document) { d.Models[0], d.Models[1] = d.Models[1], d.Models[0] }, nil},
		{"field", func(d *Document) { d.Models[1].MemoryMB = 7 }, []Change{{Path: "models[b].memory_mb", Kind: ChangeChanged, Old: "2", New: "7"}}},
		{"order of priorities", func(d *Document) { d.Priorities = []string{"y", "x"} }, []Change{{Path: "priorities", Kind: ChangeChanged, Old: `["x","y"]`, New: `["y","x"]`}}},
		{"nested", func(d *Document) { d.Models[0].Adapters = nil }, []Change{{Path: "models[a].adapters[z]", Kind: ChangeRemoved, Old: `{"name":"z","memory_mb":3}`}}},
		{"region added", func(d *Document) { d.Regions = append(d.Regions, Region{Name: "r"}) }, []Change{{Path: "regions[r]", Kind: ChangeAdded, New: `{"name":"r","zones":null}`}}},
	}
	for _, tt := range tests {
		before, after := diffSample(), diffSample()
		tt.change(&after)
		if got := Diff(before, after); !reflect.DeepEqual(got, tt.want) {
			t.Errorf("%s: got %+v, want %+v", tt.name, got, tt.want)
		}
	}
}

func diffSample() Document {
	return Document{
		Priorities: []string{"x", "y"},
		Models:     []Model{{Name: "a", MemoryMB: 1, Adapters: []Adapter{{Name: "z", MemoryMB: 3}}}, {Name: "b", MemoryMB: 2}},
	}
}
