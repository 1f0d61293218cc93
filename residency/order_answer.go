package residency

// OrderAnswer is the result of submitting an order.
type OrderAnswer int

// The results. An unanswered order may still be carried out later, unless the engine
// has accepted another order by then.
const (
	OrderAccepted OrderAnswer = iota
	OrderRefused
	OrderUnanswered
)
