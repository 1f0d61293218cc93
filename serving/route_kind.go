package serving

// RouteKind tells what may be repeated and how answers arrive.
type RouteKind int

// The kinds of routes.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent RouteKind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming answers are server-sent events. They run at most once unless the
	// route is resumable.
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
