package config

// Route sets whether requests to a service are idempotent. The first matching
// route applies; a request that matches none is non-idempotent unless its method
// is GET, HEAD or OPTIONS.
type Route struct {
	// Methods lists HTTP methods; an empty list matches all.
	Methods []string `json:"methods,omitempty"`
	// PathPrefix is matched against the path below the service.
	PathPrefix    string `json:"path_prefix"`
	NonIdempotent bool   `json:"non_idempotent"`
}
