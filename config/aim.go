package config

// Aim weighs the two measures of an environment against each other. The
// weights are relative; only their ratio counts.
type Aim struct {
	ColdStart float64 `json:"cold_start"`
	IdleHours float64 `json:"idle_hours"`
}
