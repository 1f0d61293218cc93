package config

// Limits bounds what callers of the environment may ask.
type Limits struct {
	RequestsPerSecond float64  `json:"requests_per_second"`
	Burst             int      `json:"burst"`
	DefaultDeadline   Duration `json:"default_deadline"`
	MaxDeadline       Duration `json:"max_deadline"`
	MaxBodyBytes      int64    `json:"max_body_bytes"`
	// KeyRetention is how long the answer to an idempotency key is kept.
	KeyRetention Duration `json:"claim_window"`
}
