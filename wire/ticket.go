package wire

// Ticket grants a place at the weight store.
type Ticket struct{}

// Kind implements Message.
func (*Ticket) Kind() Kind { return KindTicket }
