package harness

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/ident"
)

// Names and sizes in the environment that the harness runs.
const (
	Environment ident.Environment = "trial"
	Key                           = "trial-key"
	Region      ident.Region      = "one"
	Zone        ident.Zone        = "one-a"

	drafting ident.Upstream = "drafting"
	portal   ident.Upstream = "portal"

	engineMemoryMB     = 80000
	modelMemoryMB      = 24000
	kvCacheMB          = 6000
	engineConcurrency  = 64
	serviceConcurrency = 64
)

// Models lists the environment's models. An engine has memory for two at a time.
var Models = []string{"outlook", "draft", "note"}

// Document returns the environment's document for a number of engines.
func Document(engines int) config.Document {
	sum := sha256.Sum256([]byte(Key))
	d := config.Document{
		Environment: Environment,
		Aim:         config.Aim{ColdStart: 1, IdleHours: 1},
		Regions:     []config.Region{{Name: Region, Zones: []ident.Zone{Zone}}},
		Priorities:  Models,
		Upstreams: []config.UpstreamGroup{
			{Name: drafting, Kind: config.KindEngine, Replicas: engines, MemoryMB: engineMemoryMB},
			{Name: portal, Kind: config.KindService, Replicas: 1},
		},
		Services: []config.Service{{
			Name: "portal", Upstream: portal, Priority: Models[0],
			Routes: []config.Route{{Methods: []string{"POST"}, PathPrefix: "/orders", NonIdempotent: true}},
		}},
		Callers: []config.Caller{{Name: "tester", KeySHA256: hex.EncodeToString(sum[:])}},
		Store:   config.WeightStore{LoadsPerSecond: 5, ParallelLoads: 4, ParallelAdapters: 32},
		Limits: config.Limits{
			RequestsPerSecond: 10000, Burst: 10000,
			DefaultDeadline: config.Duration(20 * time.Second),
			MaxDeadline:     config.Duration(time.Minute),
			MaxBodyBytes:    1 << 20,
			KeyRetention:    config.Duration(time.Hour),
		},
	}
	for i, name := range Models {
		d.Models = append(d.Models, config.Model{
			Name: ident.Model(name), Upstream: drafting, Priority: name,
			MaxReplicas: max(1, engines-i), MemoryMB: modelMemoryMB, KVCacheMB: kvCacheMB, Concurrency: 16,
		})
	}
	return d
}

func documentText(engines int) ([]byte, error) {
	text, err := json.MarshalIndent(Document(engines), "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode document: %w", err)
	}
	return text, nil
}
