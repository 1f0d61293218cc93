package wire

// Queued acknowledges a Reserve that is still waiting for its decision. A Reserved
// or a Refusal follows on the same stream.
type Queued struct{}

// Kind implements Message.
func (*Queued) Kind() Kind { return KindQueued }
