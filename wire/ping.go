package wire

// Ping shows a peer that waits on a stream that the sender is alive.
type Ping struct {
	Seq uint64 `cbor:"1,keyasint"`
}

// Kind implements Message.
func (*Ping) Kind() Kind { return KindPing }
