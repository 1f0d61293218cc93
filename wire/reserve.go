package wire

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// Reserve asks an agent for a reservation at its upstream, with a model and an
// adapter loaded. The reply is a Reserved or a Refusal. The reservation is held
// until the requester ends the stream, optionally with a ReservationOutcome.
type Reserve struct {
	// Request is the id of the caller's request, for logs.
	Request  string         `cbor:"1,keyasint"`
	Model    ident.Model    `cbor:"2,keyasint"`
	Adapter  ident.Adapter  `cbor:"3,keyasint,omitempty"`
	Priority ident.Priority `cbor:"4,keyasint,omitempty"`
	// CacheTokens is the maximum number of KV cache tokens that the request uses.
	CacheTokens int `cbor:"5,keyasint,omitempty"`
	// PromptTokens is the number of tokens that the engine prefills before the first
	// event.
	PromptTokens int `cbor:"9,keyasint,omitempty"`
	// MaxWait is how long the requester waits for the reservation.
	MaxWait time.Duration `cbor:"6,keyasint,omitempty"`
	// Objective is the wait within which the reservation is wanted; a later one is
	// worth less.
	Objective time.Duration `cbor:"7,keyasint,omitempty"`
	// MaxEventGap is the maximum pause between events that the caller accepts.
	MaxEventGap time.Duration `cbor:"8,keyasint,omitempty"`
	// Traits holds those of the request, by which it may crash servers.
	Traits []ident.Trait `cbor:"10,keyasint,omitempty"`
	// Tenant is that of the caller, or empty for none.
	Tenant ident.Tenant `cbor:"11,keyasint,omitempty"`
	// Deadline is the time left in which a response is useful, or zero if it is unknown.
	Deadline time.Duration `cbor:"12,keyasint,omitempty"`
	// Allotment is the rate of the tenant's allotment, for comparison with other tenants', or
	// zero without one.
	Allotment float64 `cbor:"13,keyasint,omitempty"`
	// SharedMachine is set if servers of the upstream's service state how slow their machines
	// are at the moment.
	SharedMachine bool `cbor:"15,keyasint,omitempty"`
	// Resumed is set if the caller has the beginning of the response.
	Resumed bool `cbor:"16,keyasint,omitempty"`
}

// Kind implements Message.
func (*Reserve) Kind() Kind { return KindReserve }
