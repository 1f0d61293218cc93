package wire

import "time"

// AllotmentLoan is the reply to an AllotmentRequest.
type AllotmentLoan struct {
	// Amount is what is lent. Refused is set if there is too little for the first of the
	// waiting requests.
	Amount  float64 `cbor:"1,keyasint,omitempty"`
	Refused bool    `cbor:"2,keyasint,omitempty"`
	// EmptyFor is the time until the bank can lend again, zero if it still can, and Wait
	// when the first of the refused callers should come back.
	EmptyFor time.Duration `cbor:"3,keyasint,omitempty"`
	Wait     time.Duration `cbor:"4,keyasint,omitempty"`
}

// Kind implements Message.
func (*AllotmentLoan) Kind() Kind { return KindAllotmentLoan }
