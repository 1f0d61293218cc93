package wire

// Queued tells that a Reserve has arrived and is not decided yet. A Reserved or a
// Refusal follows on the same stream.
type Queued struct{}

// Kind implements Message.
func (*Queued) Kind() Kind { return KindQueued }
