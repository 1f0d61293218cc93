package config

// WeightStore gives the limits of the store that weights are loaded from.
type WeightStore struct {
	LoadsPerSecond float64 `json:"loads_per_second"`
	// ParallelLoads is how many loads run at full speed at once.
	ParallelLoads int `json:"parallel_loads"`
	// ParallelAdapters is how many adapter loads are in flight across replicas
	// at full speed.
	ParallelAdapters int `json:"parallel_adapters"`
}
