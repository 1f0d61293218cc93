package residency

// Run is a request that the engine runs, as reported by it.
type Run struct {
	// ID identifies the run within one start of the engine.
	ID string
	// Tokens is its number of tokens in the engine's memory, Events how many it has made.
	Tokens, Events int
}
