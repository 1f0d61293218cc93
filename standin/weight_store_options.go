package standin

// Defaults of a WeightStore.
const (
	DefaultLoadsPerSecond   = 5
	DefaultParallelLoads    = 4
	DefaultParallelAdapters = 32
)

// WeightStoreOptions configures a WeightStore. Zero means the default, or no limit
// where there is no default.
type WeightStoreOptions struct {
	// LoadsPerSecond is how many loads may start per second; others wait.
	LoadsPerSecond float64
	// ParallelLoads and ParallelAdapters are how many transfers can run at full
	// speed at the same time; more transfers share that speed.
	ParallelLoads    int
	ParallelAdapters int
	// MBPerSecond is the full speed of one load in MiB per second. Zero means that
	// loads take no time.
	MBPerSecond float64
}
