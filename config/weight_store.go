package config

// WeightStore holds the limits of the store that weights are loaded from.
type WeightStore struct {
	LoadsPerSecond float64 `json:"loads_per_second"`
	// ParallelLoads is the number of concurrent loads that run at full speed.
	ParallelLoads int `json:"parallel_loads"`
	// ParallelAdapters is the number of concurrent adapter loads, over all
	// replicas, that run at full speed.
	ParallelAdapters int `json:"parallel_adapters"`
}
