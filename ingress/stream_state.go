package ingress

// streamState is what of an answer has reached the caller.
type streamState struct {
	// begun is set once any of it has.
	begun bool
	// lastID is that of the last whole event, or what the caller resumed from.
	lastID string
}
