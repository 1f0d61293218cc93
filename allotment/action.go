package allotment

import (
	"time"
)

// Action is what the driver of a Borrower has to do: *Ask, *Granted, *Refused or
// *Unavailable.
type Action interface{ action() }

// AskID identifies a message to a bank.
type AskID uint64

// Ticket identifies a request of a caller that waits for a loan.
type Ticket uint64

// Ask sends a request to a bank. The driver reports the answer by Answered or, after Limit or
// a failure, by Unanswered.
type Ask struct {
	ID      AskID
	Bank    string
	Request Request
	Limit   time.Duration
}

// Granted ends the wait of a request: it may run.
type Granted struct {
	Ticket Ticket
	// Expires is when the loan ends that the request was granted from.
	Expires time.Time
}

// Refused ends the wait of a request: the banks that answered have too little.
type Refused struct {
	Ticket     Ticket
	RetryAfter time.Duration
	// Age is the time since a bank last stated that it has nothing left.
	Age time.Duration
}

// Unavailable ends the wait of a request: no bank could be asked.
type Unavailable struct{ Ticket Ticket }

func (*Ask) action()         {}
func (*Granted) action()     {}
func (*Refused) action()     {}
func (*Unavailable) action() {}
