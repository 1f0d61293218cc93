package routing

// VolumeOptions configures a Volume.
type VolumeOptions struct {
	// BytesPerSecond is the paid volume across regions of one environment. Zero
	// sets no bound.
	BytesPerSecond float64
	// BurstBytes is how much may be used at once after a quiet time.
	BurstBytes int
}
