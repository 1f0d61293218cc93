package config

// Limits holds the limits on the requests to an environment.
type Limits struct {
	RequestsPerSecond float64  `json:"requests_per_second"`
	Burst             int      `json:"burst"`
	DefaultDeadline   Duration `json:"default_deadline"`
	MaxDeadline       Duration `json:"max_deadline"`
	MaxBodyBytes      int64    `json:"max_body_bytes"`
	// KeyRetention is how long the response to an idempotency key is retained.
	KeyRetention Duration `json:"claim_window"`
}
