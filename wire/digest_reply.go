package wire

// DigestReply carries the reports that the asker lacked.
type DigestReply struct {
	Reports []Report `cbor:"1,keyasint"`
}

// Kind implements Message.
func (*DigestReply) Kind() Kind { return KindDigestReply }
