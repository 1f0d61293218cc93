package serving

// RequestLimit is how many requests a second a server takes from all routers together.
// The zero value means that the server names no limit.
type RequestLimit struct {
	Named     bool
	PerSecond float64
}
