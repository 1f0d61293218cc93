package residency

// OrderAnswer is what became of an order when it was submitted.
type OrderAnswer int

// The answers. After a lost one, the order may be carried out later, unless the
// engine has accepted another by then.
const (
	OrderAccepted OrderAnswer = iota
	OrderRefused
	OrderUnanswered
)
