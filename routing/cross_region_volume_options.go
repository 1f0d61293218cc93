package routing

// CrossRegionVolumeOptions configures a CrossRegionVolume.
type CrossRegionVolumeOptions struct {
	// BytesPerSecond is the paid volume across regions of one environment. Zero
	// means no limit.
	BytesPerSecond float64
	// BurstBytes is how much may be sent at once after an idle period.
	BurstBytes int
}
