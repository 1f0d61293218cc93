package wire

import (
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
)

// Hello is the first message in each direction of a connection.
type Hello struct {
	VM          ident.VM          `cbor:"1,keyasint"`
	Incarnation ident.Incarnation `cbor:"2,keyasint"`
	Role        metastore.Role    `cbor:"3,keyasint"`
	Region      ident.Region      `cbor:"4,keyasint"`
	Zone        ident.Zone        `cbor:"5,keyasint"`
}

// Kind implements Message.
func (*Hello) Kind() Kind { return KindHello }
