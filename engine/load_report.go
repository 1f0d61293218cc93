package engine

import "time"

// LoadReport is the load of an engine at the time AsOf, which may lie in the past.
type LoadReport struct {
	AsOf            time.Time `json:"as_of"`
	Running         int       `json:"running"`
	Waiting         int       `json:"waiting"`
	TokensPerSecond float64   `json:"tokens_per_second"`
}
