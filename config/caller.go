package config

// Caller is a client with an API key for the environment.
type Caller struct {
	Name string `json:"name"`
	// KeySHA256 is the SHA-256 of the caller's key, in lower-case hexadecimal.
	KeySHA256 string `json:"key_sha256"`
	// RequestsPerSecond and Burst are the caller's rate limit; zero selects the
	// environment's limit.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	Burst             int     `json:"burst,omitempty"`
}
