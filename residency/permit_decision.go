package residency

// PermitDecision is the decision on a PermitRequest.
type PermitDecision string

// The decisions.
const (
	PermitGranted PermitDecision = "granted"
	// PermitDenied means that the router sees no value in the load.
	PermitDenied PermitDecision = "denied"
	// PermitUndecided means that there was no decision: the router could not be asked, or
	// the permit was not issued in time.
	PermitUndecided PermitDecision = "undecided"
)
