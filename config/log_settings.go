package config

// LogSettings selects the format ("json" or "text") and the minimum level
// ("debug", "info", "warn", "error") of the logs.
type LogSettings struct {
	Format string `json:"format"`
	Level  string `json:"level"`
}
