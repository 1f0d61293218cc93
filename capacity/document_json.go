package main

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/ident"
)

// newDocument returns a document with the given numbers of models and adapters.
// Each model may have up to replicas replicas.
func newDocument(models, adapters, replicas int) config.Document {
	d := config.Document{
		Environment: environmentName,
		Aim:         config.Aim{ColdStart: 1, IdleHours: 1},
		Regions:     []config.Region{{Name: regionName, Zones: []ident.Zone{zoneName}}},
		Priorities:  []string{"outlook", "draft", "note"},
		Upstreams:   []config.UpstreamGroup{{Name: upstreamName, Kind: config.KindEngine, Replicas: replicas, MemoryMB: 320_000, ChecksFences: true}},
		Services:    []config.Service{},
		Callers:     []config.Caller{},
		Store:       config.WeightStore{LoadsPerSecond: 5, ParallelLoads: 4, ParallelAdapters: 32},
		Limits: config.Limits{
			RequestsPerSecond: 1000, Burst: 1000, MaxBodyBytes: 4 << 20,
			DefaultDeadline: config.Duration(time.Minute),
			MaxDeadline:     config.Duration(5 * time.Minute),
			KeyRetention:    config.Duration(time.Hour),
		},
	}
	for i := range models {
		d.Models = append(d.Models, config.Model{
			Name: modelName(i), Upstream: upstreamName, Priority: "draft", MaxReplicas: replicas,
			MemoryMB: 24_000, KVCacheMB: 8000, Concurrency: 8,
		})
	}
	for i := range adapters {
		m := &d.Models[i%models]
		m.Adapters = append(m.Adapters, config.Adapter{Name: adapterName(i), MemoryMB: 200})
	}
	return d
}

// documentJSON returns such a document as compact JSON.
func documentJSON(models, adapters, replicas int) ([]byte, error) {
	b, err := json.Marshal(newDocument(models, adapters, replicas))
	if err != nil {
		return nil, fmt.Errorf("encode document: %w", err)
	}
	return b, nil
}
