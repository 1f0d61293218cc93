package serving

// RouteKind determines whether requests may be retried and how responses are sent.
type RouteKind int

// The kinds of routes.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent RouteKind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming routes respond with server-sent events. Requests run at most once
	// unless the route is resumable.
	Streaming
)

// String implements fmt.Stringer.
func (k RouteKind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Streaming:
		return "streaming"
	}
	return "non_idempotent"
}
