package config

// Caller is one holder of a key for the environment.
type Caller struct {
	Name string `json:"name"`
	// KeySHA256 is the SHA-256 of the caller's key, in lower-case hexadecimal.
	KeySHA256 string `json:"key_sha256"`
	// RequestsPerSecond and Burst limit the caller; zero takes the limit of the
	// environment.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	Burst             int     `json:"burst,omitempty"`
}
