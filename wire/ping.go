package wire

// Ping asks for a Pong with the same number, on a stream of its own.
type Ping struct {
	Seq uint64 `cbor:"1,keyasint"`
}

// Kind implements Message.
func (*Ping) Kind() Kind { return KindPing }
