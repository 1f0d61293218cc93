package wire

import "github.com/laureltally/laureltally/ident"

// Head is the first message of a response: its status and header.
type Head struct {
	Attempt ident.Attempt       `cbor:"1,keyasint"`
	Status  int                 `cbor:"2,keyasint"`
	Header  map[string][]string `cbor:"3,keyasint,omitempty"`
}

// Kind implements Message.
func (*Head) Kind() Kind { return KindHead }
