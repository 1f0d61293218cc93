package wire

// Ping tells a peer that waits on a stream that the sender is there.
type Ping struct {
	Seq uint64 `cbor:"1,keyasint"`
}

// Kind implements Message.
func (*Ping) Kind() Kind { return KindPing }
