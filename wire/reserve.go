package wire

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// Reserve asks an agent for a place in its upstream, with a model and an adapter
// loaded. The reply is a Reserved or a Refusal. The place is held until the
// asker ends the stream, which it may do with a Settle.
type Reserve struct {
	// Request is the id of the caller's request, for logs.
	Request  string         `cbor:"1,keyasint"`
	Model    ident.Model    `cbor:"2,keyasint"`
	Adapter  ident.Adapter  `cbor:"3,keyasint,omitempty"`
	Priority ident.Priority `cbor:"4,keyasint,omitempty"`
	// CacheTokens is how much of the engine's cache the request may take.
	CacheTokens int `cbor:"5,keyasint,omitempty"`
	// PromptTokens is how many tokens the engine reads before the first event.
	PromptTokens int `cbor:"9,keyasint,omitempty"`
	// MaxWait is how long the asker waits for the place.
	MaxWait time.Duration `cbor:"6,keyasint,omitempty"`
	// Objective is how soon the place is wanted; later it is worth less.
	Objective time.Duration `cbor:"7,keyasint,omitempty"`
	// MaxEventGap is the longest pause between events that the caller accepts.
	MaxEventGap time.Duration `cbor:"8,keyasint,omitempty"`
}

// Kind implements Message.
func (*Reserve) Kind() Kind { return KindReserve }
