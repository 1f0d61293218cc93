package wire

// StreamOrigin is the reply to a StreamOriginQuery.
type StreamOrigin struct {
	// Known is false if the agent has not been told.
	Known    bool   `cbor:"1,keyasint"`
	Software string `cbor:"2,keyasint"`
}

// Kind implements Message.
func (*StreamOrigin) Kind() Kind { return KindStreamOrigin }
