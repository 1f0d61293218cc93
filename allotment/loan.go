package allotment

import "time"

// TTL is how long a loan lives from when the router requested it.
const TTL = 500 * time.Millisecond

// Loan is a bank's answer to a Request.
type Loan struct {
	// Amount is what is lent.
	Amount float64
	// Refused is set if the bank has too little for the first of the waiting requests.
	Refused bool
	// EmptyFor is the time until the bank can lend again, zero if it still can.
	EmptyFor time.Duration
	// Wait is when the first of the refused callers should come back: those refused
	// earlier come first.
	Wait time.Duration
}
