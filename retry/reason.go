package retry

// Reason is why a failed attempt is not retried.
type Reason string

// The reasons against a retry.
const (
	ReasonUnrepeatable Reason = "unrepeatable"
	ReasonPermanent    Reason = "permanent"
	ReasonAttempts     Reason = "attempts"
	ReasonDeadline     Reason = "deadline"
	ReasonBudget       Reason = "budget"
)
