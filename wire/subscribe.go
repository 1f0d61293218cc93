package wire

// Subscribe asks an agent to send its Reports on this stream until it is closed.
type Subscribe struct {
	// Findings asks for CrashFindings among them, and Limits for ServerLimits.
	Findings bool `cbor:"1,keyasint,omitempty"`
	Limits   bool `cbor:"2,keyasint,omitempty"`
}

// Kind implements Message.
func (*Subscribe) Kind() Kind { return KindSubscribe }
