package ingress

// streamState records how much of a response has reached the caller.
type streamState struct {
	// begun is set once any part has been sent.
	begun bool
	// lastID is the id of the last complete event, or the one that the caller resumed
	// from.
	lastID string
}
