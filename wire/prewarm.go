package wire

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// Prewarm asks an agent to prewarm a model: to load it ahead of requests. There is
// no reply.
type Prewarm struct {
	Environment ident.Environment `cbor:"1,keyasint"`
	Model       ident.Model       `cbor:"2,keyasint"`
	Priority    ident.Priority    `cbor:"3,keyasint"`
	Remaining   time.Duration     `cbor:"4,keyasint"`
}

// Kind implements Message.
func (*Prewarm) Kind() Kind { return KindPrewarm }
