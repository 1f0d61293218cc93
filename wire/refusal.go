package wire

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// Refusal is the final reply to an attempt that has no response.
type Refusal struct {
	Attempt    ident.Attempt `cbor:"1,keyasint"`
	Code       Code          `cbor:"2,keyasint"`
	Run        RunState      `cbor:"3,keyasint"`
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
	Detail     string        `cbor:"5,keyasint,omitempty"`
	// Load is set in replies to a Reserve.
	Load *EngineLoad `cbor:"6,keyasint,omitempty"`
}

// Kind implements Message.
func (*Refusal) Kind() Kind { return KindRefusal }
