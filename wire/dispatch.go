package wire

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// Dispatch asks an agent to run one attempt of a request. The reply on the same
// stream is a Refusal, or a Head, Chunks and an End or Abort.
type Dispatch struct {
	Attempt ident.Attempt `cbor:"1,keyasint"`
	// Incarnation is that of the agent when the router chose it. An agent of
	// another incarnation refuses the dispatch.
	Incarnation ident.Incarnation   `cbor:"2,keyasint"`
	Request     string              `cbor:"3,keyasint"`
	Environment ident.Environment   `cbor:"4,keyasint"`
	Model       ident.Model         `cbor:"5,keyasint,omitempty"`
	Adapter     ident.Adapter       `cbor:"6,keyasint,omitempty"`
	Service     ident.Service       `cbor:"7,keyasint,omitempty"`
	Method      string              `cbor:"8,keyasint"`
	Path        string              `cbor:"9,keyasint"`
	Header      map[string][]string `cbor:"10,keyasint,omitempty"`
	Body        []byte              `cbor:"11,keyasint,omitempty"`
	Priority    ident.Priority      `cbor:"12,keyasint"`
	// Remaining is the time to the deadline at the time of sending.
	Remaining     time.Duration `cbor:"13,keyasint"`
	NonIdempotent bool          `cbor:"14,keyasint,omitempty"`
	// IdempotencyKey is the idempotency key, or empty if the attempt has no idempotency
	// record.
	IdempotencyKey string       `cbor:"15,keyasint,omitempty"`
	Region         ident.Region `cbor:"16,keyasint"`
	// Stream asks for server-sent events. The deadline then applies to the first
	// part of the response.
	Stream bool `cbor:"17,keyasint,omitempty"`
	// MaxDuration bounds the time from the dispatch to the end of the response.
	MaxDuration time.Duration `cbor:"18,keyasint"`
}

// Kind implements Message.
func (*Dispatch) Kind() Kind { return KindDispatch }
