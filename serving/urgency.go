package serving

// Urgency is the level at which an engine admits a request: 0 is the most urgent and 9 the
// least. The zero value is unknown; engines then assume level 5.
type Urgency struct {
	Known bool
	Level int
}
