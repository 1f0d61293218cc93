package wire

// Subscribe asks an agent to send its Reports on this stream until it is closed.
type Subscribe struct{}

// Kind implements Message.
func (*Subscribe) Kind() Kind { return KindSubscribe }
