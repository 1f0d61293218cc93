package upstreamhttp

// Match tells whether a response belongs to a request.
type Match int

const (
	// MatchOther means that the response belongs to another request.
	MatchOther Match = iota
	// MatchUnknown means that the response does not say to which request it belongs. It is
	// taken for the request's only if the connection has had no other one: a faulty upstream
	// may write an earlier response once more.
	MatchUnknown
	// MatchOwn means that the response belongs to the request.
	MatchOwn
)
