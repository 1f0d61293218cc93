package standin

// Defaults of a WeightStore.
const (
	DefaultLoadsPerSecond   = 5
	DefaultParallelLoads    = 4
	DefaultParallelAdapters = 32
)

// WeightStoreOptions configures a WeightStore. Zero takes the default, or no
// limit where there is none.
type WeightStoreOptions struct {
	// LoadsPerSecond is how many loads may start in a second; more wait.
	LoadsPerSecond float64
	// ParallelLoads and ParallelAdapters are how many transfers run at full
	// speed at once; more share that speed.
	ParallelLoads    int
	ParallelAdapters int
	// MBPerSecond is the full speed of one load, in MiB. Zero means at once.
	MBPerSecond float64
}
