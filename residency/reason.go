package residency

// Reason tells why a request was refused.
type Reason string

// The reasons.
const (
	// ReasonFull means that the engine has too many requests to serve this in time.
	ReasonFull Reason = "engine full"
	// ReasonLoad means that the model can't be loaded in time.
	ReasonLoad Reason = "load takes too long"
	// ReasonPatience means that the place was not ready when expected.
	ReasonPatience Reason = "waited too long"
	// ReasonUnknown means that the model is not configured.
	ReasonUnknown Reason = "unknown model"
	// ReasonLeaving means that the engine will stop.
	ReasonLeaving Reason = "engine is leaving"
	// ReasonBlind means that the engine has not reported.
	ReasonBlind Reason = "engine does not report"
)
