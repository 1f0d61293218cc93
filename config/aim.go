package config

// Aim is the optimization objective of an environment: the weights of tail
// cold-start time and idle accelerator hours. Only their ratio matters.
type Aim struct {
	ColdStart float64 `json:"cold_start"`
	IdleHours float64 `json:"idle_hours"`
}
