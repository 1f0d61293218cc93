package standin

// WeightStoreFaults is the body of /control/faults of a weight store.
type WeightStoreFaults struct {
	// Slowdown multiplies the time of transfers; zero means one.
	Slowdown float64 `json:"slowdown"`
	Outage   bool    `json:"outage"`
}
