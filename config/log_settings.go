package config

// LogSettings chooses the format ("json" or "text") and the lowest level
// ("debug", "info", "warn", "error") of the logs.
type LogSettings struct {
	Format string `json:"format"`
	Level  string `json:"level"`
}
