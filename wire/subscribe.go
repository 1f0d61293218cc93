package wire

// Subscribe asks an agent for its Reports on this stream, until it is closed.
type Subscribe struct{}

// Kind implements Message.
func (*Subscribe) Kind() Kind { return KindSubscribe }
