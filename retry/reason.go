package retry

// Reason tells why a failure is final.
type Reason string

// The reasons for not repeating an attempt.
const (
	ReasonUnrepeatable Reason = "unrepeatable"
	ReasonPermanent    Reason = "permanent"
	ReasonAttempts     Reason = "attempts"
	ReasonDeadline     Reason = "deadline"
	ReasonBudget       Reason = "budget"
)
