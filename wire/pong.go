package wire

// Pong answers a Ping.
type Pong struct {
	Seq uint64 `cbor:"1,keyasint"`
}

// Kind implements Message.
func (*Pong) Kind() Kind { return KindPong }
